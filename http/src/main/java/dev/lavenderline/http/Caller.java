package dev.lavenderline.http;

import io.vavr.control.Either;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;

/** The id, workspace and arrival time of a request, attached to it before a handler runs. */
record Caller(String requestId, String workspace, long arrivedNanos) {
    private static final String CONTEXT_KEY = "lavenderline.caller";
    private static final String DEADLINE_HEADER = "X-Request-Deadline-Ms";
    private static final long MAX_DEADLINE_MS = Duration.ofDays(1).toMillis();

    void attach(RoutingContext ctx) {
        ctx.put(CONTEXT_KEY, this);
    }

    static Caller of(RoutingContext ctx) {
        return ctx.get(CONTEXT_KEY);
    }

    /** Returns the timeout requested by the caller in the deadline header, at most {@code limit}. */
    static Either<ApiError, Duration> timeout(RoutingContext ctx, Duration limit) {
        String header = ctx.request().getHeader(DEADLINE_HEADER);
        if (header == null) {
            return Either.right(limit);
        }
        long millis;
        try {
            millis = Long.parseLong(header.trim());
        } catch (NumberFormatException e) {
            millis = -1;
        }
        if (millis < 1 || millis > MAX_DEADLINE_MS) {
            return Either.left(ApiError.invalid(
                    "invalid_header", DEADLINE_HEADER + " must be 1 to " + MAX_DEADLINE_MS + " milliseconds"));
        }
        return Either.right(limit.toMillis() < millis ? limit : Duration.ofMillis(millis));
    }
}
