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
import dev.lavenderline.node.log.LoggedStream;
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
 * <p>Invariants: {@link KeyedCalls.Run} is given at most once for each claim record, only to the node that wrote it, and
 * only after the record was folded as the current claim of its key. A node has at most one undecided claim of a key, so
 * that its holder identifies the claim; the offset in an acknowledgement may belong to a copy that readers drop. A claim
 * whose acknowledgement came too late is released as not run and never followed by a send. Not thread-safe; confined to
 * the node's event loop.
 */
public final class KeyedCallService implements KeyedCalls {
    /** Age of the last tail read above which a claim is refused at once instead of waiting for the log. */
    private static final Duration TAIL_LIMIT = Duration.ofSeconds(3);
    /** Added to the timeout of a call for clock differences between hosts. */
    private static final Duration CLOCK_MARGIN = Duration.ofSeconds(1);

    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final LoggedStream<CallLedger> calls;
    private final String holder;
    private final Duration logTimeout;
    private final Timers timers;
    private final Ticker ticker;
    private final Map<String, List<UniEmitter<? super Void>>> waiting = new HashMap<>();
    private final Set<String> undecided = new HashSet<>();
    private final Set<Long> granted = new HashSet<>();

    /**
     * Creates the service; the owner passes the ledger's events to {@link #onEvent}.
     *
     * @param holder incarnation of the node
     * @param logTimeout longest wait for the acknowledgement of a claim
     */
    public KeyedCallService(
            LoggedStream<CallLedger> calls, String holder, Duration logTimeout, Timers timers, Ticker ticker) {
        this.calls = calls;
        this.holder = holder;
        this.logTimeout = logTimeout;
        this.timers = timers;
        this.ticker = ticker;
    }

    /** Takes an event of the ledger. */
    public void onEvent(CallEvent event) {
        if (event instanceof CallEvent.Finished finished) {
            granted.remove(finished.claim());
            wake(waiting.remove(mapKey(finished.workspace(), finished.key())));
        } else if (event instanceof CallEvent.Restored) {
            List<List<UniEmitter<? super Void>>> all = List.copyOf(waiting.values());
            waiting.clear();
            all.forEach(KeyedCallService::wake);
        }
    }

    @Override
    public Uni<Either<ApiError, Permit>> claim(
            String workspace, String key, String route, byte[] digest, Duration timeout) {
        Claim claim = new Claim(workspace, key, route, ByteString.copyFrom(digest), timeout);
        Optional<KeyedCall> known = calls.ledger().call(workspace, key);
        if (known.isPresent() && !isFree(known.get())) {
            return existing(claim, known.get());
        }
        if (!calls.isFresh(TAIL_LIMIT)) {
            return error(notRun("the platform's log cannot be reached"));
        }
        if (!undecided.add(mapKey(workspace, key))) {
            return error(notRun("another request with this idempotency key is being recorded; try again"));
        }
        return write(claim);
    }

    @Override
    public Uni<Void> done(Run run, Answer answer) {
        return finish(
                run,
                CallFinished.newBuilder()
                        .setOutcome(CallOutcome.DONE)
                        .setStatus(answer.status())
                        .setContentType(answer.contentType())
                        .setBody(ByteString.copyFrom(answer.body())));
    }

    @Override
    public Uni<Void> notRun(Run run) {
        return finish(run, CallFinished.newBuilder().setOutcome(CallOutcome.NOT_RUN));
    }

    @Override
    public Uni<Void> unknown(Run run) {
        return finish(run, CallFinished.newBuilder().setOutcome(CallOutcome.UNKNOWN));
    }

    private Uni<Either<ApiError, Permit>> write(Claim claim) {
        Instant expires = ticker.now().plus(claim.timeout).plus(CLOCK_MARGIN).plus(logTimeout);
        Entry entry = Entry.newBuilder()
                .setCallClaimed(CallClaimed.newBuilder()
                        .setWorkspace(claim.workspace)
                        .setKey(claim.key)
                        .setRoute(claim.route)
                        .setDigest(claim.digest)
                        .setHolder(holder)
                        .setExpiresMs(expires.toEpochMilli()))
                .build();
        boolean[] abandoned = new boolean[1];
        Uni<Either<LogError, Long>> folded = calls.writer()
                .write(entry)
                .chain(result -> result.isLeft()
                        ? Uni.createFrom().item(result)
                        : calls.reached(result.get()).replaceWith(result))
                .invoke(() -> decidedAt(abandoned[0], claim));
        return Timeouts.within(folded, timers, logTimeout, () -> {
                    abandoned[0] = true;
                    return Either.left(new LogError.TimedOut("no acknowledgement of the claim"));
                })
                .chain(result -> result.isLeft()
                        ? error(notRun("the claim of the idempotency key could not be recorded"))
                        : decided(claim));
    }

    /** Ends the claim's recording and frees the key if its request had been refused meanwhile. */
    private void decidedAt(boolean abandoned, Claim claim) {
        undecided.remove(mapKey(claim.workspace, claim.key));
        if (abandoned) {
            own(claim).ifPresent(run -> notRun(run).subscribe().with(released -> {}));
        }
    }

    private Uni<Either<ApiError, Permit>> decided(Claim claim) {
        Optional<Run> own = own(claim);
        if (own.isPresent()) {
            return Uni.createFrom().item(Either.right(own.get()));
        }
        Optional<KeyedCall> winner = calls.ledger().call(claim.workspace, claim.key);
        if (winner.isEmpty() || isFree(winner.get())) {
            return error(notRun("another claim of the idempotency key was released; try again"));
        }
        return existing(claim, winner.get());
    }

    /** Returns the permission for a claim that this node won and that was not used yet. */
    private Optional<Run> own(Claim claim) {
        return calls.ledger()
                .call(claim.workspace, claim.key)
                .filter(call -> call.holder().equals(holder) && call.finished().isEmpty())
                .filter(call -> granted.add(call.claim()))
                .map(call -> new Run(claim.workspace, claim.key, call.claim()));
    }

    private Uni<Either<ApiError, Permit>> existing(Claim claim, KeyedCall call) {
        if (!call.digest().equals(claim.digest)) {
            return error(new ApiError(
                    422,
                    "key_reused",
                    "idempotency key '" + claim.key + "' was used for another request",
                    Optional.empty()));
        }
        if (call.finished().isPresent()) {
            return recorded(call.finished().get());
        }
        Duration left = Duration.between(ticker.now(), call.expires());
        if (left.isNegative() || left.isZero()) {
            return error(unknownOutcome());
        }
        Uni<Void> finished = Uni.createFrom()
                .emitter(
                        emitter -> waiting.computeIfAbsent(mapKey(claim.workspace, claim.key), key -> new ArrayList<>())
                                .add(emitter));
        Duration wait = left.compareTo(claim.timeout) < 0 ? left : claim.timeout;
        return Timeouts.within(finished, timers, wait, () -> null).chain(() -> afterWait(claim));
    }

    private Uni<Either<ApiError, Permit>> afterWait(Claim claim) {
        Optional<KeyedCall> call = calls.ledger().call(claim.workspace, claim.key);
        if (call.isEmpty() || isFree(call.get())) {
            return error(notRun("the earlier call with this idempotency key was not run; try again"));
        }
        return call.get().finished().map(this::recorded).orElseGet(() -> error(unknownOutcome()));
    }

    private Uni<Either<ApiError, Permit>> recorded(CallFinished finished) {
        if (finished.getOutcome() != CallOutcome.DONE) {
            return error(unknownOutcome());
        }
        Answer answer = new Answer(
                finished.getStatus(),
                finished.getContentType(),
                finished.getBody().toByteArray());
        return Uni.createFrom().item(Either.right(new Recorded(answer)));
    }

    private Uni<Void> finish(Run run, CallFinished.Builder finished) {
        Entry entry = Entry.newBuilder()
                .setCallFinished(
                        finished.setWorkspace(run.workspace()).setKey(run.key()).setClaim(run.claim()))
                .build();
        // The writer keeps the entry and sends it again during an outage, so the caller need not wait longer.
        return Timeouts.within(calls.writer().write(entry), timers, logTimeout, () -> Either.right(0L))
                .replaceWithVoid();
    }

    private static boolean isFree(KeyedCall call) {
        return call.finished()
                .filter(finished -> finished.getOutcome() == CallOutcome.NOT_RUN)
                .isPresent();
    }

    private static void wake(List<UniEmitter<? super Void>> emitters) {
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

    private static Uni<Either<ApiError, Permit>> error(ApiError error) {
        return Uni.createFrom().item(Either.left(error));
    }

    private static String mapKey(String workspace, String key) {
        return workspace + '\0' + key;
    }

    private record Claim(String workspace, String key, String route, ByteString digest, Duration timeout) {}
}
