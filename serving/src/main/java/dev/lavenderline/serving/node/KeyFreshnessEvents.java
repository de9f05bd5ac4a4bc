package dev.lavenderline.serving.node;

import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.workspaces.ConfigAge;
import dev.lavenderline.serving.workspaces.KeyFreshness;

/**
 * Logs when the configuration becomes too old to check keys and when it is confirmed again. A start, before the first
 * confirmation, is not logged.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class KeyFreshnessEvents {
    private final KeyFreshness keys;
    private final ConfigAge age;
    private final EventLog log;
    private boolean confirmedBefore;
    private boolean outdated;

    KeyFreshnessEvents(KeyFreshness keys, ConfigAge age, EventLog log) {
        this.keys = keys;
        this.age = age;
        this.log = log;
    }

    /** Logs a change since the last call; to be called several times a second. */
    void check() {
        boolean fresh = keys.fresh();
        if (fresh && outdated) {
            outdated = false;
            log.event(
                    ServingEvent.CONFIG_CONFIRMED,
                    "version",
                    age.version(),
                    "ms",
                    age.age().toMillis());
        } else if (!fresh && confirmedBefore && !outdated) {
            outdated = true;
            log.event(
                    ServingEvent.CONFIG_TOO_OLD,
                    "version",
                    age.version(),
                    "ms",
                    age.age().toMillis(),
                    "newer",
                    age.newerVersion().isPresent() ? age.newerVersion().getAsLong() : null);
        }
        confirmedBefore |= fresh && keys.active();
    }
}
