package dev.lavenderline.core.overload;

import java.time.Duration;

/**
 * Limits on one connection of a caller. Immutable.
 *
 * @param headerBytes largest request line, and largest size of all header lines of a request
 * @param headerTimeout longest time from the first byte of a request to the end of its head
 * @param bodyTimeout longest time from the end of a head to the end of its body
 * @param idleTimeout longest time without a request, and longest time without progress in reading a response
 */
public record ConnectionLimits(int headerBytes, Duration headerTimeout, Duration bodyTimeout, Duration idleTimeout) {}
