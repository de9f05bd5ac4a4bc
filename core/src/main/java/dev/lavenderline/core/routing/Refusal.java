package dev.lavenderline.core.routing;

import java.time.Duration;

/**
 * Reason why a request or retry was not sent. No upstream received any byte of the refused attempt.
 *
 * @param reason stable reason
 * @param retryAfter time until a retry is worthwhile
 * @param message explanation for the caller
 */
public record Refusal(Reason reason, Duration retryAfter, String message) {
    /** Stable reasons. */
    public enum Reason {
        /** The workspace is over its rate or its limit of requests in flight. */
        RATE_LIMITED,
        /** No upstream of the group is usable. */
        NO_UPSTREAM,
        /** The queue is full. */
        OVERLOADED,
        /** The request cannot be answered before its deadline. */
        DEADLINE,
        /** The retry budget is used up, or the request must not be retried. */
        RETRY_BUDGET
    }
}
