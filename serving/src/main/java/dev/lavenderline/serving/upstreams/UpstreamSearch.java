package dev.lavenderline.serving.upstreams;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Decides which upstreams of a service are to be checked for a connection after one of them was unreachable: others may
 * have been lost with it, and a request that tried one after the other would wait for a time-out at each. The number
 * that is checked at a time doubles with each step until enough are known to be reachable, so that the time of a search
 * does not grow with the number of lost upstreams. Nothing is checked while enough of them respond.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class UpstreamSearch {
    /** Time between two steps. */
    static final Duration STEP = Duration.ofMillis(50);

    /** Upstreams that the first step checks. */
    static final int FIRST_STEP_UPSTREAMS = 4;

    /** Reachable upstreams that end the checks; a failed request goes to one of them. */
    static final int ENOUGH_REACHABLE = 4;

    /** Time for which a search is the only one of its service; an upstream is checked once in it. */
    static final Duration PERIOD = UpstreamHealth.PROOF_PERIOD;

    private static final int MAX_DOUBLINGS = 16;

    private final Ticker ticker;
    private final Map<String, Search> searches = new HashMap<>();

    private static final class Search {
        final long startedNanos;
        final Set<String> checked = new HashSet<>();

        Search(long startedNanos) {
            this.startedNanos = startedNanos;
        }
    }

    public UpstreamSearch(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Starts a search in a service unless one is running. */
    public void start(String service) {
        searches.computeIfAbsent(service, key -> new Search(ticker.nanos()));
    }

    /**
     * Returns the upstreams to check now.
     *
     * @param upstreams returns the upstreams of a service
     * @param reachable whether an upstream is known to be reachable
     * @param failed whether an upstream has failed, so that a connection says nothing of it
     */
    public List<Upstream> toCheck(
            Function<String, List<Upstream>> upstreams, Predicate<String> reachable, Predicate<String> failed) {
        if (searches.isEmpty()) {
            return List.of();
        }
        searches.values().removeIf(search -> elapsedNanos(search) >= PERIOD.toNanos());
        List<Upstream> chosen = new ArrayList<>();
        searches.forEach(
                (service, search) -> chosen.addAll(toCheck(search, upstreams.apply(service), reachable, failed)));
        return chosen;
    }

    private List<Upstream> toCheck(
            Search search, List<Upstream> service, Predicate<String> reachable, Predicate<String> failed) {
        long known = service.stream().map(Upstream::id).filter(reachable).count();
        if (known >= ENOUGH_REACHABLE) {
            return List.of();
        }
        long steps = Math.min(elapsedNanos(search) / STEP.toNanos(), MAX_DOUBLINGS) + 1;
        long allowed = FIRST_STEP_UPSTREAMS * ((1L << steps) - 1) - search.checked.size();
        List<Upstream> chosen = service.stream()
                .filter(upstream -> !search.checked.contains(upstream.id()))
                .filter(upstream -> !reachable.test(upstream.id()) && !failed.test(upstream.id()))
                .limit(Math.max(0, allowed))
                .toList();
        chosen.forEach(upstream -> search.checked.add(upstream.id()));
        return chosen;
    }

    private long elapsedNanos(Search search) {
        return ticker.nanos() - search.startedNanos;
    }
}
