package dev.lavenderline.serving.routes;

import java.time.Duration;

/**
 * Limits on what callers may send. Immutable.
 *
 * @param headerBytes largest size of a request's head
 * @param bodyBytes largest size of a request's body
 * @param headerTimeout longest time to send a head
 * @param idleTimeout longest time for which a connection may be idle
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits until a configuration is known. */
    public static CallerLimits defaults() {
        return new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));
    }
}
