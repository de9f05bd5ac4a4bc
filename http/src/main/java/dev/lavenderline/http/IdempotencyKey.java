package dev.lavenderline.http;

import io.vavr.control.Either;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.regex.Pattern;

/** Reads and validates the header {@code Idempotency-Key}. */
final class IdempotencyKey {
    private static final String HEADER = "Idempotency-Key";
    private static final Pattern VALID = Pattern.compile("[\\x21-\\x7e]{1,200}");

    private IdempotencyKey() {}

    /** Returns the key of a request; empty if the header is absent. */
    static Either<ApiError, Optional<String>> of(HttpServerRequest request) {
        String key = request.getHeader(HEADER);
        if (key != null && !VALID.matcher(key).matches()) {
            return Either.left(
                    ApiError.invalid("invalid_header", HEADER + " must have 1 to 200 visible ASCII characters"));
        }
        return Either.right(Optional.ofNullable(key));
    }
}
