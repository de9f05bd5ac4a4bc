package dev.lavenderline.serving.workspaces;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Decides whether this node may admit or send a request with a key, given the age of its configuration. Everything is
 * admitted if no bound on the use of removed keys is set, or no workspaces are configured.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class KeyFreshness {
    /**
     * Part of the bound left for what an age does not show: the way of a checked request to the upstream, and clocks
     * of other nodes that run at different rates.
     */
    static final Duration MARGIN = Duration.ofMillis(250);

    /** Whether a key may be used. */
    public enum Decision {
        ADMITTED,
        /** A newer configuration may exist that no longer has the key. */
        OUTDATED,
        /** The configuration does not have the key. */
        KEY_REMOVED
    }

    private final Optional<Duration> limit;
    private final ConfigAge age;
    private final Supplier<Workspaces> workspaces;

    /**
     * Creates a check.
     *
     * @param bound time after the acknowledgement of a configuration from which a key that it lacks must not be used;
     *     empty for no check
     * @param workspaces returns those of the configuration held
     */
    public KeyFreshness(Optional<Duration> bound, ConfigAge age, Supplier<Workspaces> workspaces) {
        this.limit = bound.map(value -> value.minus(MARGIN));
        this.age = age;
        this.workspaces = workspaces;
    }

    /** Returns whether keys are checked at all. */
    public boolean active() {
        return limit.isPresent() && workspaces.get().enabled();
    }

    /** Returns whether the configuration is recent enough to decide on a key. */
    public boolean fresh() {
        return !active() || age.age().compareTo(limit.get()) < 0;
    }

    /** Decides on a request with a key. */
    public Decision check(String key) {
        if (!active()) {
            return Decision.ADMITTED;
        }
        if (!fresh()) {
            return Decision.OUTDATED;
        }
        return workspaces.get().ofKey(key).isPresent() ? Decision.ADMITTED : Decision.KEY_REMOVED;
    }
}
