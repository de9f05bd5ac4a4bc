package dev.lavenderline.serving.routes;

import java.time.Duration;

/**
 * Limits on callers' requests and connections. Immutable.
 *
 * @param headerBytes maximum size of a request's headers
 * @param bodyBytes maximum size of a request's body
 * @param headerTimeout maximum time to receive a request's headers
 * @param idleTimeout maximum time for which a connection may be idle
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Returns the limits that apply until a configuration has been read. */
    public static CallerLimits defaults() {
        return new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));
    }
}
