package dev.lavenderline.http;

import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;

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
     * @return {@link Claimed} if this caller holds the claim, {@link Replay} if the call has completed before; errors
     *     are {@code not_run}, {@code outcome_unknown} and {@code key_reused} (422)
     */
    Uni<Either<ApiError, ClaimResult>> claim(
            String workspace, String key, String route, byte[] digest, Duration timeout);

    /** Returns whether a call with a key has been recorded, whatever its route was. */
    Knowledge knows(String workspace, String key);

    /**
     * Returns the result of an earlier call, whether its route still exists or not; empty if none with this key and
     * digest has been recorded. The arguments and the result are those of {@link #claim}; never {@link Claimed}.
     */
    Optional<Uni<Either<ApiError, ClaimResult>>> earlierResult(
            String workspace, String key, byte[] digest, Duration timeout);

    /** Records the response; completes when the record is on the log or buffered for it. */
    Uni<Void> recordResponse(Claimed claimed, Response response);

    /** Records that no byte of the call was sent; the key can be claimed again. */
    Uni<Void> recordNotRun(Claimed claimed);

    /** Records that the outcome of the call is unknown. */
    Uni<Void> recordUnknown(Claimed claimed);

    /** What a node knows of a key. */
    enum Knowledge {
        RECORDED,
        NOT_RECORDED,
        /** No call with the key has been read, and the log has not been read for a while. */
        UNCERTAIN
    }

    /** Result of a claim. */
    sealed interface ClaimResult {}

    /** The key was claimed; the caller of {@code claim} must send the call now, exactly once. */
    record Claimed(String workspace, String key, long claim) implements ClaimResult {}

    /** The call has completed before with this response. */
    record Replay(Response response) implements ClaimResult {}

    /** A recorded response of a plain service. */
    @SuppressWarnings("ArrayRecordComponent")
    record Response(int status, String contentType, byte[] body) {}
}
