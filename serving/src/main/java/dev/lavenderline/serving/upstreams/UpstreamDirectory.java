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
import java.util.Set;

/**
 * The upstreams that are known from the store.
 *
 * <p>A removed entry is dropped at once while the store was reachable all the time. After an outage of the store a
 * removal may only mean that the entry could not be renewed, so that the upstream stays until the end of a period, counted
 * from the store's return, in which living upstreams renew their entries.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class UpstreamDirectory {
    /** Time after the store's return in which living upstreams renew their entries. */
    static final Duration RENEWAL_GRACE = Duration.ofSeconds(2);

    /** Silence of the store after which a removal may be due to an outage. Long polls answer at least every second. */
    static final Duration OUTAGE = Duration.ofMillis(2000);

    /** Removed upstreams that are remembered. */
    private static final int REMEMBERED = 1000;

    private final Ticker ticker;
    private final Set<String> removed = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > REMEMBERED;
        }
    });
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final Set<String> removals = new HashSet<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private long lastAnswerNanos;
    private long outageEndNanos;
    private boolean outageSeen;
    private boolean loaded;

    public UpstreamDirectory(Ticker ticker) {
        this.ticker = ticker;
        this.lastAnswerNanos = ticker.nanos();
    }

    /** Adds a task that runs after each change. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Records that the store answered. */
    public void storeAnswered() {
        long now = ticker.nanos();
        if (loaded && now - lastAnswerNanos > OUTAGE.toNanos()) {
            outageSeen = true;
            outageEndNanos = now;
        }
        loaded = true;
        lastAnswerNanos = now;
    }

    /** Adds or replaces an upstream. */
    public void put(Upstream upstream) {
        removals.remove(upstream.id());
        removed.remove(upstream.id());
        Upstream before = upstreams.put(upstream.id(), upstream);
        if (!upstream.equals(before)) {
            changed();
        }
    }

    /** Handles the removal of an entry. */
    public void remove(String id) {
        Upstream known = upstreams.get(id);
        if (known == null) {
            return;
        }
        if (renewing() && !known.draining()) {
            removals.add(id);
            return;
        }
        upstreams.remove(id);
        removed.add(id);
        changed();
    }

    /** Replaces everything by a complete list. */
    public void replaceAll(Collection<Upstream> current) {
        List<String> gone = new ArrayList<>(upstreams.keySet());
        current.forEach(upstream -> gone.remove(upstream.id()));
        gone.forEach(this::remove);
        current.forEach(this::put);
    }

    private boolean renewing() {
        return outageSeen && ticker.nanos() - outageEndNanos < RENEWAL_GRACE.toNanos();
    }

    /** Drops entries that were not renewed; call it several times a second. */
    public void expire() {
        if (removals.isEmpty() || renewing()) {
            return;
        }
        upstreams.keySet().removeAll(removals);
        removed.addAll(removals);
        removals.clear();
        changed();
    }

    private void changed() {
        listeners.forEach(Runnable::run);
    }

    /** Returns whether the list has been read at least once. */
    public boolean loaded() {
        return loaded;
    }

    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    public Collection<Upstream> all() {
        return upstreams.values();
    }

    /** Returns whether an upstream is draining or was removed; an unknown one may be new. */
    public boolean leaving(String id) {
        Upstream upstream = upstreams.get(id);
        return upstream == null ? removed.contains(id) : upstream.draining();
    }

    /** Returns the upstreams of a service that take new requests. */
    public List<Upstream> open(String service) {
        List<Upstream> open = new ArrayList<>();
        for (Upstream upstream : upstreams.values()) {
            if (upstream.service().equals(service) && !upstream.draining()) {
                open.add(upstream);
            }
        }
        return open;
    }

    /** Returns the upstreams of an upstream's service that take requests, none if it is not known. */
    public List<Upstream> serviceOf(String id) {
        return find(id).map(upstream -> open(upstream.service())).orElse(List.of());
    }
}
