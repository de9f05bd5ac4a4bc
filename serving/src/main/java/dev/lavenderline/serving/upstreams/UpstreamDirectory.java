package dev.lavenderline.serving.upstreams;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The upstreams listed in the metadata store.
 *
 * <p>An upstream whose entry is removed is normally dropped at once. After a store outage, a removal may only mean that
 * the entry could not be renewed; the upstream is then kept for a grace period, counted from the end of the outage, in
 * which running upstreams renew their entries.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class UpstreamDirectory {
    /** Time after a store outage in which running upstreams renew their entries. */
    static final Duration RENEWAL_GRACE = Duration.ofSeconds(2);

    /** Time without a response after which the store counts as down; long polls return at least every second. */
    static final Duration OUTAGE_THRESHOLD = Duration.ofMillis(2000);

    /**
     * Time for which an upstream that has said that it is leaving gets no requests although it is listed as ready; far
     * above the time within which it exits. After it, a request has to show whether it stays.
     */
    static final Duration LEAVING_PERIOD = Duration.ofSeconds(30);

    /** Number of ids of removed upstreams, and of notices, that are kept, the latest ones. */
    private static final int MAX_KEPT_IDS = 1000;

    private final Ticker ticker;
    private final Set<String> removedIds = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_KEPT_IDS;
        }
    });
    private final Map<String, Upstream> upstreams = new HashMap<>();

    /** The latest notices, by id of the upstream. */
    private final Map<String, Known> notices = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Known> eldest) {
            return size() > MAX_KEPT_IDS;
        }
    };

    private final ServedVersions servedVersions;
    private final Set<String> unconfirmedRemovals = new HashSet<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private long lastResponseNanos;
    private long outageEndNanos;
    private boolean outageSeen;
    private boolean loaded;

    /**
     * A notice.
     *
     * @param limitedSinceNanos since when this node has known that the upstream has a limit, if the notice names one
     * @param leavingSaidNanos when the upstream last said to this node that it is leaving, or when another node
     *     reported that first, if the notice says so
     */
    private record Known(UpstreamNotice notice, long limitedSinceNanos, long leavingSaidNanos) {}

    public UpstreamDirectory(Ticker ticker) {
        this.ticker = ticker;
        this.servedVersions = new ServedVersions(
                ticker,
                () -> upstreams.values().stream().map(ServiceVersion::of).collect(Collectors.toUnmodifiableSet()));
        this.lastResponseNanos = ticker.nanos();
    }

    /** Adds a listener that runs after each change. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Records that the store responded, with or without changes. */
    public void recordStoreResponse() {
        long now = ticker.nanos();
        if (loaded && now - lastResponseNanos > OUTAGE_THRESHOLD.toNanos()) {
            outageSeen = true;
            outageEndNanos = now;
        }
        loaded = true;
        lastResponseNanos = now;
    }

    /** Adds or replaces an upstream. */
    public void put(Upstream upstream) {
        unconfirmedRemovals.remove(upstream.id());
        removedIds.remove(upstream.id());
        Upstream previous = upstreams.put(upstream.id(), upstream);
        if (!upstream.equals(previous)) {
            recordRemovedVersion(previous);
            notifyListeners();
        }
    }

    /**
     * Records what an upstream has said of itself, to this node or another one. An upstream that is leaving gets no
     * further requests, until it starts again under its id or {@link #LEAVING_PERIOD} is over; a node that does not
     * know that yet may still report its limit.
     *
     * @return whether that was not known
     */
    public boolean note(UpstreamNotice notice) {
        Known known = notices.get(notice.upstream());
        if (known != null && known.notice().startedMillis() > notice.startedMillis()) {
            return false;
        }
        boolean leaving =
                known != null && known.notice().leaving() && known.notice().startedMillis() == notice.startedMillis();
        UpstreamNotice merged = new UpstreamNotice(
                notice.upstream(), notice.startedMillis(), notice.leaving() || leaving, notice.limit());
        if (known != null && known.notice().equals(merged)) {
            return false;
        }
        boolean limited = known != null && known.notice().limit().isPresent();
        notices.put(
                merged.upstream(),
                new Known(
                        merged,
                        limited ? known.limitedSinceNanos() : ticker.nanos(),
                        leaving ? known.leavingSaidNanos() : ticker.nanos()));
        notifyListeners();
        return true;
    }

    /**
     * Records what an upstream has said of itself in a response to this node. A response that names no limit ends an
     * earlier one only if its request was sent after the limit had become known here, because responses overtake each
     * other.
     *
     * @param sentNanos when the request was sent
     * @return the notice, empty if it was known
     */
    public Optional<UpstreamNotice> noteResponse(
            Upstream upstream, boolean leaving, OptionalDouble limit, long sentNanos) {
        Optional<Known> known = known(upstream);
        if (known.isEmpty() && !leaving && limit.isEmpty()) {
            return Optional.empty();
        }
        OptionalDouble limitInForce = known.filter(earlier -> limit.isEmpty())
                .filter(earlier -> sentNanos - earlier.limitedSinceNanos() < 0)
                .map(earlier -> earlier.notice().limit())
                .orElse(limit);
        if (leaving) {
            notices.computeIfPresent(
                    upstream.id(),
                    (id, earlier) -> new Known(earlier.notice(), earlier.limitedSinceNanos(), ticker.nanos()));
        }
        UpstreamNotice notice = new UpstreamNotice(upstream.id(), upstream.startedMillis(), leaving, limitInForce);
        return note(notice) ? Optional.of(notice) : Optional.empty();
    }

    /** Returns the requests a second that an upstream takes from all nodes together, empty if it names no limit. */
    public OptionalDouble limit(Upstream upstream) {
        return notice(upstream).map(UpstreamNotice::limit).orElse(OptionalDouble.empty());
    }

    /** Returns whether an upstream of a service names a limit. */
    public boolean limited(String service) {
        return !notices.isEmpty()
                && open(service).stream().anyMatch(upstream -> limit(upstream).isPresent());
    }

    /** Returns what the listed upstreams have said of themselves. */
    public List<UpstreamNotice> notices() {
        return upstreams.values().stream()
                .map(this::notice)
                .flatMap(Optional::stream)
                .toList();
    }

    private Optional<Known> known(Upstream upstream) {
        return Optional.ofNullable(notices.get(upstream.id()))
                .filter(known -> known.notice().startedMillis() == upstream.startedMillis());
    }

    private Optional<UpstreamNotice> notice(Upstream upstream) {
        return known(upstream).map(Known::notice);
    }

    private boolean draining(Upstream upstream) {
        return upstream.draining() || known(upstream).filter(this::leaving).isPresent();
    }

    private boolean leaving(Known known) {
        return known.notice().leaving() && ticker.nanos() - known.leavingSaidNanos() < LEAVING_PERIOD.toNanos();
    }

    /** Handles the removal of an entry; ignores unknown ids. */
    public void remove(String id) {
        Upstream known = upstreams.get(id);
        if (known == null) {
            return;
        }
        if (inRenewalGrace() && !draining(known)) {
            unconfirmedRemovals.add(id);
            return;
        }
        drop(id);
        notifyListeners();
    }

    private void drop(String id) {
        recordRemovedVersion(upstreams.remove(id));
        removedIds.add(id);
    }

    private void recordRemovedVersion(Upstream removed) {
        if (removed != null) {
            servedVersions.unlisted(ServiceVersion.of(removed));
        }
    }

    /** Replaces all entries with a complete list; a missing entry counts as removed. */
    public void replaceAll(Collection<Upstream> current) {
        // Before the changes, because listeners conclude from them.
        servedVersions.listLoaded();
        List<String> missing = new ArrayList<>(upstreams.keySet());
        current.forEach(upstream -> missing.remove(upstream.id()));
        missing.forEach(this::remove);
        current.forEach(this::put);
    }

    private boolean inRenewalGrace() {
        return outageSeen && ticker.nanos() - outageEndNanos < RENEWAL_GRACE.toNanos();
    }

    /** Drops upstreams not renewed within the grace period after an outage; call it several times a second. */
    public void expire() {
        if (unconfirmedRemovals.isEmpty() || inRenewalGrace()) {
            return;
        }
        unconfirmedRemovals.forEach(this::drop);
        unconfirmedRemovals.clear();
        notifyListeners();
    }

    private void notifyListeners() {
        listeners.forEach(Runnable::run);
    }

    /** Returns whether the list has been read from the store at least once. */
    public boolean loaded() {
        return loaded;
    }

    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    public Collection<Upstream> all() {
        return upstreams.values();
    }

    /** Returns whether an upstream is draining or was removed; false if the id is unknown, as it may be new. */
    public boolean drainingOrRemoved(String id) {
        Upstream upstream = upstreams.get(id);
        return upstream == null ? removedIds.contains(id) : draining(upstream);
    }

    /** Returns the upstreams of a service that are not draining. */
    public List<Upstream> open(String service) {
        List<Upstream> open = new ArrayList<>();
        for (Upstream upstream : upstreams.values()) {
            if (upstream.service().equals(service) && !draining(upstream)) {
                open.add(upstream);
            }
        }
        return open;
    }

    /** Returns which software versions are and were in service. */
    public ServedVersions servedVersions() {
        return servedVersions;
    }

    /** Returns the upstreams of the same service that are not draining; none if the id is unknown. */
    public List<Upstream> openInSameService(String id) {
        return find(id).map(upstream -> open(upstream.service())).orElse(List.of());
    }
}
