package dev.lavenderline.serving.upstreams;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The upstreams that are known from the store.
 *
 * <p>A removed entry is dropped at once while the store was reachable all the time. After an outage of the store a
 * removal may only mean that the entry could not be renewed, so that the upstream stays for a grace period in which a
 * living upstream renews it.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class UpstreamDirectory {
    /** Entries of living upstreams are back within 2 s of the store's return; the rest is for the store's delay. */
    static final Duration RENEWAL_GRACE = Duration.ofMillis(2500);

    /** Silence of the store after which a removal may be due to an outage. Long polls answer at least every second. */
    static final Duration OUTAGE = Duration.ofMillis(2000);

    private final Ticker ticker;
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final Map<String, Long> removals = new HashMap<>();
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
        Upstream before = upstreams.put(upstream.id(), upstream);
        if (!upstream.equals(before)) {
            changed();
        }
    }

    /** Handles the removal of an entry. */
    public void remove(String id) {
        if (!upstreams.containsKey(id)) {
            return;
        }
        if (outageSeen && ticker.nanos() - outageEndNanos < RENEWAL_GRACE.toNanos()) {
            removals.putIfAbsent(id, ticker.nanos());
            return;
        }
        upstreams.remove(id);
        changed();
    }

    /** Replaces everything by a complete list. */
    public void replaceAll(Collection<Upstream> current) {
        List<String> gone = new ArrayList<>(upstreams.keySet());
        current.forEach(upstream -> gone.remove(upstream.id()));
        gone.forEach(this::remove);
        current.forEach(this::put);
    }

    /** Drops entries whose grace period has passed; call it about once a second. */
    public void expire() {
        long now = ticker.nanos();
        boolean dropped = false;
        Iterator<Map.Entry<String, Long>> each = removals.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<String, Long> removal = each.next();
            if (now - removal.getValue() >= RENEWAL_GRACE.toNanos()) {
                upstreams.remove(removal.getKey());
                each.remove();
                dropped = true;
            }
        }
        if (dropped) {
            changed();
        }
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
}
