package dev.lavenderline.core.routing;

import java.time.Duration;

/**
 * Why a request was not sent. No upstream has seen any byte of it.
 *
 * @param reason stable reason
 * @param retryAfter when a retry is worthwhile
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
        /** The retry budget is used up. */
        RETRY_BUDGET
    }
}
