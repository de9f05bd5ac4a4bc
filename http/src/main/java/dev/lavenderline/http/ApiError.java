package dev.lavenderline.http;

import java.time.Duration;
import java.util.Optional;

/**
 * A final error response for a caller, rendered as {@code {"error":{"code","message","type"}}}.
 *
 * @param status HTTP status
 * @param code stable error code, for example {@code not_run}
 * @param message human-readable explanation
 * @param retryAfter delay after which a retry may succeed; empty if there is no such hint
 */
public record ApiError(int status, String code, String message, Optional<Duration> retryAfter) {
    /** Returns a 400 error: the request is invalid and a retry cannot help. */
    public static ApiError invalid(String code, String message) {
        return new ApiError(400, code, message, Optional.empty());
    }

    /** Returns a 503 error: no part of the request was executed, so that a retry is safe. */
    public static ApiError notRun(String message, Duration retryAfter) {
        return new ApiError(503, "not_run", message, Optional.of(retryAfter));
    }

    /** Returns a 502 error: the request may have been executed, and its outcome is unknown. */
    public static ApiError outcomeUnknown(String message) {
        return new ApiError(502, "outcome_unknown", message, Optional.empty());
    }

    /** Returns a 404 error: the object does not exist or belongs to another workspace. */
    public static ApiError notFound(String message) {
        return new ApiError(404, "not_found", message, Optional.empty());
    }
}
