package dev.lavenderline.http;

import java.time.Duration;
import java.util.Optional;

/**
 * A final error for a caller; rendered as {@code {"error":{"code","message","type"}}}.
 *
 * @param status HTTP status
 * @param code stable code, for example {@code not_run}
 * @param message explanation
 * @param retryAfter when a retry is worthwhile
 */
public record ApiError(int status, String code, String message, Optional<Duration> retryAfter) {
    /** The request is invalid; a retry cannot help. */
    public static ApiError invalid(String code, String message) {
        return new ApiError(400, code, message, Optional.empty());
    }

    /** No byte of the request can have been executed. */
    public static ApiError notRun(String message, Duration retryAfter) {
        return new ApiError(503, "not_run", message, Optional.of(retryAfter));
    }

    /** The request may have been executed, and its outcome is not known. */
    public static ApiError outcomeUnknown(String message) {
        return new ApiError(502, "outcome_unknown", message, Optional.empty());
    }

    /** The object does not exist or belongs to another workspace. */
    public static ApiError notFound(String message) {
        return new ApiError(404, "not_found", message, Optional.empty());
    }
}
