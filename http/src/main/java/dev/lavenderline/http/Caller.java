package dev.lavenderline.http;

import io.vavr.control.Either;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;

/** What the server attached to a request before a handler runs. */
record Caller(String requestId, String workspace, long arrivedNanos) {
    private static final String KEY = "lavenderline.caller";
    private static final String DEADLINE_HEADER = "X-Request-Deadline-Ms";
    private static final long MAX_DEADLINE_MS = Duration.ofDays(1).toMillis();

    void attach(RoutingContext ctx) {
        ctx.put(KEY, this);
    }

    static Caller of(RoutingContext ctx) {
        return ctx.get(KEY);
    }

    /** Returns the smaller one of a limit and the deadline that the caller gave. */
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
