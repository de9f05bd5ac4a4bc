package dev.lavenderline.http;

import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import java.time.Duration;

/**
 * At-most-once permission for non-repeatable calls that carry an {@code Idempotency-Key}. All calls run on the node's
 * event loop; failures are values.
 */
public interface KeyedCalls {
    /**
     * Claims a key on the log.
     *
     * @param digest SHA-256 of method, path and body
     * @param timeout time after which the holder has given up the call
     * @return {@link Run} for the winner, {@link Recorded} if the call was done before; errors are {@code not_run},
     *     {@code outcome_unknown} and {@code key_reused} (422)
     */
    Uni<Either<ApiError, Permit>> claim(String workspace, String key, String route, byte[] digest, Duration timeout);

    /** Records the answer; completes when it is on the log or buffered for it. */
    Uni<Void> done(Run run, Answer answer);

    /** Records that no byte was sent; the key can be used again. */
    Uni<Void> notRun(Run run);

    /** Records that the outcome is not known. */
    Uni<Void> unknown(Run run);

    /** Result of a claim. */
    sealed interface Permit {}

    /** The caller of {@code claim} must send the call now, once. */
    record Run(String workspace, String key, long claim) implements Permit {}

    /** The call was done before with this answer. */
    record Recorded(Answer answer) implements Permit {}

    /** An answer of a plain service. */
    @SuppressWarnings("ArrayRecordComponent")
    record Answer(int status, String contentType, byte[] body) {}
}
