package dev.lavenderline.http;

import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import java.time.Duration;

/**
 * Claims idempotency keys, so that a non-repeatable call with an {@code Idempotency-Key} is sent at most once. All
 * methods are called on the node's event loop; failures are returned as values.
 */
public interface KeyedCalls {
    /**
     * Claims a key by a record on the log.
     *
     * @param digest SHA-256 of method, path and body
     * @param timeout time after which the holder of the claim has abandoned the call
     * @return {@link Run} if this caller holds the claim, {@link Recorded} if the call has completed before; errors are
     *     {@code not_run}, {@code outcome_unknown} and {@code key_reused} (422)
     */
    Uni<Either<ApiError, Permit>> claim(String workspace, String key, String route, byte[] digest, Duration timeout);

    /** Records the response; completes when the record is on the log or buffered for it. */
    Uni<Void> done(Run run, Answer answer);

    /** Records that no byte of the call was sent; the key can be claimed again. */
    Uni<Void> notRun(Run run);

    /** Records that the outcome of the call is unknown. */
    Uni<Void> unknown(Run run);

    /** Result of a claim. */
    sealed interface Permit {}

    /** The key was claimed; the caller of {@code claim} must send the call now, exactly once. */
    record Run(String workspace, String key, long claim) implements Permit {}

    /** The call has completed before with this response. */
    record Recorded(Answer answer) implements Permit {}

    /** A recorded response of a plain service. */
    @SuppressWarnings("ArrayRecordComponent")
    record Answer(int status, String contentType, byte[] body) {}
}
