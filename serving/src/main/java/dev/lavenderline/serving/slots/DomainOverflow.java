package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Which failure domains send a notable part of their requests to the upstreams of others.
 *
 * <p>A domain overflows from {@link #BEGIN_SHARE} of its requests on, and no longer below {@link #END_SHARE}, each over
 * {@link #PERIOD}; the distance between both keeps a load that swings every few seconds from reporting at each swing.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class DomainOverflow {
    static final double BEGIN_SHARE = 0.2;
    static final double END_SHARE = 0.05;
    static final Duration PERIOD = Duration.ofSeconds(4);

    /** Requests in a period below which its share says nothing. */
    static final int MIN_REQUESTS = 20;

    private final Ticker ticker;
    private final Map<String, State> states = new HashMap<>();

    /** A change that operators should know of. */
    record Change(boolean overflows, double share) {}

    private static final class State {
        private long sinceNanos;
        private int requests;
        private int away;
        private boolean overflows;

        State(long sinceNanos) {
            this.sinceNanos = sinceNanos;
        }
    }

    DomainOverflow(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Records a placement; returns a change once the period in which it falls is complete. */
    Optional<Change> placed(String from, String to) {
        State state = states.computeIfAbsent(from, domain -> new State(ticker.nanos()));
        Optional<Change> change = Optional.empty();
        if (ticker.nanos() - state.sinceNanos >= PERIOD.toNanos()) {
            change = endPeriod(state);
        }
        state.requests++;
        state.away += from.equals(to) ? 0 : 1;
        return change;
    }

    private Optional<Change> endPeriod(State state) {
        double share = state.requests == 0 ? 0 : (double) state.away / state.requests;
        boolean known = state.requests >= MIN_REQUESTS;
        state.sinceNanos = ticker.nanos();
        state.requests = 0;
        state.away = 0;
        boolean begins = known && !state.overflows && share >= BEGIN_SHARE;
        boolean ends = known && state.overflows && share < END_SHARE;
        if (!begins && !ends) {
            return Optional.empty();
        }
        state.overflows = begins;
        return Optional.of(new Change(begins, share));
    }
}
