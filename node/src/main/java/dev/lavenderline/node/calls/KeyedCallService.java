package dev.lavenderline.node.calls;

import com.google.protobuf.ByteString;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.core.ledger.CallEvent;
import dev.lavenderline.core.ledger.CallLedger;
import dev.lavenderline.core.ledger.KeyedCall;
import dev.lavenderline.http.ApiError;
import dev.lavenderline.http.KeyedCalls;
import dev.lavenderline.log.LogError;
import dev.lavenderline.node.log.LogStream;
import dev.lavenderline.node.log.Timeouts;
import dev.lavenderline.proto.log.CallClaimed;
import dev.lavenderline.proto.log.CallFinished;
import dev.lavenderline.proto.log.CallOutcome;
import dev.lavenderline.proto.log.Entry;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Claims idempotency keys on the stream {@code calls}.
 *
 * <p>Invariants: {@link KeyedCalls.Claimed} is returned at most once per claim record, only on the node that wrote it,
 * and only after the ledger has applied the record as the current claim of its key. A node has at most one pending
 * claim of a key, so the holder identifies the claim; the offset in an acknowledgement cannot, because it may belong to
 * a duplicate that readers drop. A claim that is acknowledged after the timeout is released as not run and its call is
 * never sent. Not thread-safe; confined to the node's event loop.
 */
public final class KeyedCallService implements KeyedCalls {
    /** If the last read of the log's tail is older, a claim is refused at once instead of waiting for the log. */
    private static final Duration MAX_TAIL_AGE = Duration.ofSeconds(3);
    /** Added to the expiry of a claim for clock differences between hosts. */
    private static final Duration CLOCK_SKEW_MARGIN = Duration.ofSeconds(1);

    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final LogStream<CallLedger> calls;
    private final String holder;
    private final Duration logTimeout;
    private final Timers timers;
    private final Ticker ticker;
    private final Map<String, List<UniEmitter<? super Void>>> waiters = new HashMap<>();
    private final Set<String> pendingClaims = new HashSet<>();
    private final Set<Long> takenClaims = new HashSet<>();

    /**
     * Creates the service. Its owner must pass the ledger's events to {@link #onEvent}.
     *
     * @param holder incarnation of this node
     * @param logTimeout longest wait for the acknowledgement of a claim
     */
    public KeyedCallService(
            LogStream<CallLedger> calls, String holder, Duration logTimeout, Timers timers, Ticker ticker) {
        this.calls = calls;
        this.holder = holder;
        this.logTimeout = logTimeout;
        this.timers = timers;
        this.ticker = ticker;
    }

    /** Handles a ledger event: completes the waiting requests that it affects. */
    public void onEvent(CallEvent event) {
        if (event instanceof CallEvent.Finished finished) {
            takenClaims.remove(finished.claim());
            completeAll(waiters.remove(mapKey(finished.workspace(), finished.key())));
        } else if (event instanceof CallEvent.Restored) {
            List<List<UniEmitter<? super Void>>> all = List.copyOf(waiters.values());
            waiters.clear();
            all.forEach(KeyedCallService::completeAll);
        }
    }

    @Override
    public Uni<Either<ApiError, ClaimResult>> claim(
            String workspace, String key, String route, byte[] digest, Duration timeout) {
        Claim claim = new Claim(workspace, key, route, ByteString.copyFrom(digest), timeout);
        Optional<KeyedCall> existing = calls.ledger().call(workspace, key);
        if (existing.isPresent() && !isReleased(existing.get())) {
            return resolveExisting(claim, existing.get());
        }
        if (!calls.isFresh(MAX_TAIL_AGE)) {
            return error(notRun("the platform's log cannot be reached"));
        }
        if (!pendingClaims.add(mapKey(workspace, key))) {
            return error(notRun("another request with this idempotency key is being recorded; try again"));
        }
        return writeClaim(claim);
    }

    @Override
    public Knowledge knows(String workspace, String key) {
        if (calls.ledger().call(workspace, key).isPresent()) {
            return Knowledge.RECORDED;
        }
        return calls.isFresh(MAX_TAIL_AGE) ? Knowledge.NOT_RECORDED : Knowledge.UNCERTAIN;
    }

    @Override
    public Optional<Uni<Either<ApiError, ClaimResult>>> earlierResult(
            String workspace, String key, byte[] digest, Duration timeout) {
        Claim claim = new Claim(workspace, key, "", ByteString.copyFrom(digest), timeout);
        return calls.ledger()
                .call(workspace, key)
                .filter(call -> !isReleased(call) && call.digest().equals(claim.digest))
                .map(call -> resolveExisting(claim, call));
    }

    @Override
    public Uni<Void> recordResponse(Claimed claimed, Response response) {
        return finish(
                claimed,
                CallFinished.newBuilder()
                        .setOutcome(CallOutcome.DONE)
                        .setStatus(response.status())
                        .setContentType(response.contentType())
                        .setBody(ByteString.copyFrom(response.body())));
    }

    @Override
    public Uni<Void> recordNotRun(Claimed claimed) {
        return finish(claimed, CallFinished.newBuilder().setOutcome(CallOutcome.NOT_RUN));
    }

    @Override
    public Uni<Void> recordUnknown(Claimed claimed) {
        return finish(claimed, CallFinished.newBuilder().setOutcome(CallOutcome.UNKNOWN));
    }

    private Uni<Either<ApiError, ClaimResult>> writeClaim(Claim claim) {
        Instant expires =
                ticker.now().plus(claim.timeout).plus(CLOCK_SKEW_MARGIN).plus(logTimeout);
        Entry entry = Entry.newBuilder()
                .setCallClaimed(CallClaimed.newBuilder()
                        .setWorkspace(claim.workspace)
                        .setKey(claim.key)
                        .setRoute(claim.route)
                        .setDigest(claim.digest)
                        .setHolder(holder)
                        .setExpiresMs(expires.toEpochMilli()))
                .build();
        boolean[] timedOut = new boolean[1];
        Uni<Either<LogError, Long>> applied = calls.writer()
                .write(entry)
                .chain(result -> result.isLeft()
                        ? Uni.createFrom().item(result)
                        : calls.awaitApplied(result.get()).replaceWith(result))
                .invoke(() -> claimAcknowledged(timedOut[0], claim));
        return Timeouts.within(applied, timers, logTimeout, () -> {
                    timedOut[0] = true;
                    return Either.left(new LogError.TimedOut("no acknowledgement of the claim"));
                })
                .chain(result -> result.isLeft()
                        ? error(notRun("the claim of the idempotency key could not be recorded"))
                        : resolveClaim(claim));
    }

    /** Ends a pending claim; releases the key if its request has timed out, since nobody will send the call. */
    private void claimAcknowledged(boolean timedOut, Claim claim) {
        pendingClaims.remove(mapKey(claim.workspace, claim.key));
        if (timedOut) {
            takeClaim(claim)
                    .ifPresent(claimed -> recordNotRun(claimed).subscribe().with(released -> {}));
        }
    }

    private Uni<Either<ApiError, ClaimResult>> resolveClaim(Claim claim) {
        Optional<Claimed> claimed = takeClaim(claim);
        if (claimed.isPresent()) {
            return Uni.createFrom().item(Either.right(claimed.get()));
        }
        Optional<KeyedCall> winner = calls.ledger().call(claim.workspace, claim.key);
        if (winner.isEmpty() || isReleased(winner.get())) {
            return error(notRun("another claim of the idempotency key was released; try again"));
        }
        return resolveExisting(claim, winner.get());
    }

    /** Returns a claim that this node won, unless it was returned before. */
    private Optional<Claimed> takeClaim(Claim claim) {
        return calls.ledger()
                .call(claim.workspace, claim.key)
                .filter(call -> call.holder().equals(holder) && call.finished().isEmpty())
                .filter(call -> takenClaims.add(call.claim()))
                .map(call -> new Claimed(claim.workspace, claim.key, call.claim()));
    }

    private Uni<Either<ApiError, ClaimResult>> resolveExisting(Claim claim, KeyedCall call) {
        if (!call.digest().equals(claim.digest)) {
            return error(new ApiError(
                    422,
                    "key_reused",
                    "idempotency key '" + claim.key + "' was used for another request",
                    Optional.empty()));
        }
        if (call.finished().isPresent()) {
            return replay(call.finished().get());
        }
        Duration remaining = Duration.between(ticker.now(), call.expires());
        if (remaining.isNegative() || remaining.isZero()) {
            return error(unknownOutcome());
        }
        Uni<Void> finished = Uni.createFrom()
                .emitter(
                        emitter -> waiters.computeIfAbsent(mapKey(claim.workspace, claim.key), key -> new ArrayList<>())
                                .add(emitter));
        Duration wait = remaining.compareTo(claim.timeout) < 0 ? remaining : claim.timeout;
        return Timeouts.within(finished, timers, wait, () -> null).chain(() -> afterWait(claim));
    }

    private Uni<Either<ApiError, ClaimResult>> afterWait(Claim claim) {
        Optional<KeyedCall> call = calls.ledger().call(claim.workspace, claim.key);
        if (call.isEmpty() || isReleased(call.get())) {
            return error(notRun("the earlier call with this idempotency key was not run; try again"));
        }
        return call.get().finished().map(this::replay).orElseGet(() -> error(unknownOutcome()));
    }

    private Uni<Either<ApiError, ClaimResult>> replay(CallFinished finished) {
        if (finished.getOutcome() != CallOutcome.DONE) {
            return error(unknownOutcome());
        }
        Response response = new Response(
                finished.getStatus(),
                finished.getContentType(),
                finished.getBody().toByteArray());
        return Uni.createFrom().item(Either.right(new Replay(response)));
    }

    private Uni<Void> finish(Claimed claimed, CallFinished.Builder finished) {
        Entry entry = Entry.newBuilder()
                .setCallFinished(finished.setWorkspace(claimed.workspace())
                        .setKey(claimed.key())
                        .setClaim(claimed.claim()))
                .build();
        // The writer buffers the entry and retries it during an outage, so the caller need not wait longer.
        return Timeouts.within(calls.writer().write(entry), timers, logTimeout, () -> Either.right(0L))
                .replaceWithVoid();
    }

    private static boolean isReleased(KeyedCall call) {
        return call.finished()
                .filter(finished -> finished.getOutcome() == CallOutcome.NOT_RUN)
                .isPresent();
    }

    private static void completeAll(List<UniEmitter<? super Void>> emitters) {
        if (emitters != null) {
            emitters.forEach(emitter -> emitter.complete(null));
        }
    }

    private static ApiError notRun(String message) {
        return ApiError.notRun(message, RETRY_AFTER);
    }

    private static ApiError unknownOutcome() {
        return ApiError.outcomeUnknown("the call with this idempotency key was sent and its outcome is not known");
    }

    private static Uni<Either<ApiError, ClaimResult>> error(ApiError error) {
        return Uni.createFrom().item(Either.left(error));
    }

    private static String mapKey(String workspace, String key) {
        return workspace + '\0' + key;
    }

    private record Claim(String workspace, String key, String route, ByteString digest, Duration timeout) {}
}
