package dev.lavenderline.core.ledger;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.proto.log.CallClaimed;
import dev.lavenderline.proto.log.CallFinished;
import dev.lavenderline.proto.log.CallLedgerState;
import dev.lavenderline.proto.log.CallOutcome;
import dev.lavenderline.proto.log.CallState;
import dev.lavenderline.proto.log.Entry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * State of the calls with idempotency keys on non-repeatable routes, built from the stream {@code calls}.
 *
 * <p>The first claim of a key wins; its offset is the fencing token that an outcome must carry. The outcomes
 * {@code DONE} and {@code UNKNOWN} are final; {@code NOT_RUN} frees the key. Two claims of a key in one batch have the
 * same offset, so a node must not write a second claim of a key while its first one is pending.
 *
 * <p>A call is removed when the retention has passed in log time since its expiry or its outcome, whichever is later.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public final class CallLedger extends SequencedLedger {
    private static final Comparator<KeyedCall> BY_EXPIRY = Comparator.comparing(KeyedCall::expires)
            .thenComparingLong(KeyedCall::claim)
            .thenComparing(KeyedCall::workspace)
            .thenComparing(KeyedCall::key);

    private final long retentionMs;
    private final Consumer<CallEvent> listener;
    private final List<CallEvent> events = new ArrayList<>();
    private State state = new State();

    /**
     * Creates an empty ledger.
     *
     * @param retention how long finished and expired calls are kept, in log time; must be the same on all nodes
     * @param listener receives the events of a record after all its entries have been applied; must not call
     *     {@link #apply} or {@link #restore}
     */
    public CallLedger(Duration retention, Consumer<CallEvent> listener) {
        this.retentionMs = positiveMillis(retention, "call retention");
        this.listener = listener;
    }

    /** Returns the call that holds a key; empty if the key is free. */
    public Optional<KeyedCall> call(String workspace, String key) {
        return Optional.ofNullable(state.calls.get(new Key(workspace, key)));
    }

    /** Returns the number of keys that are in use. */
    public int size() {
        return state.calls.size();
    }

    @Override
    public byte[] snapshot() {
        CallLedgerState.Builder builder = CallLedgerState.newBuilder().addAllWriters(writerStates());
        for (KeyedCall call : state.calls.values()) {
            CallState.Builder callState = CallState.newBuilder()
                    .setOffset(call.claim())
                    .setClaim(CallClaimed.newBuilder()
                            .setWorkspace(call.workspace())
                            .setKey(call.key())
                            .setRoute(call.route())
                            .setDigest(call.digest())
                            .setHolder(call.holder())
                            .setExpiresMs(call.expires().toEpochMilli()));
            call.finished().ifPresent(callState::setFinished);
            builder.addCalls(callState);
        }
        return serialize(builder.build());
    }

    @Override
    public void restore(long asOf, byte[] bytes) {
        requireNewer(asOf);
        CallLedgerState parsed;
        try {
            parsed = CallLedgerState.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("snapshot as of " + asOf + " cannot be parsed", e);
        }
        State restored = new State();
        for (CallState call : parsed.getCallsList()) {
            restored.put(newCall(
                    call.getClaim(),
                    call.getOffset(),
                    call.getClaim().getExpiresMs(),
                    call.hasFinished() ? Optional.of(call.getFinished()) : Optional.empty()));
        }
        state = restored;
        restorePosition(asOf, parsed.getWritersList());
        listener.accept(new CallEvent.Restored(asOf));
    }

    @Override
    protected void removeExpired(long logTimeMs) {
        while (!state.byExpiry.isEmpty()) {
            KeyedCall oldest = state.byExpiry.first();
            if (oldest.expires().toEpochMilli() > logTimeMs - retentionMs) {
                return;
            }
            state.remove(oldest);
        }
    }

    @Override
    protected void applyEntry(long offset, int index, long logTimeMs, Entry entry) {
        switch (entry.getBodyCase()) {
            case CALL_CLAIMED -> applyClaimed(offset, logTimeMs, entry.getCallClaimed());
            case CALL_FINISHED -> applyFinished(offset, logTimeMs, entry.getCallFinished());
            default -> {
                // Snapshot parts and entries of other streams are ignored.
            }
        }
    }

    @Override
    protected void recordApplied() {
        if (events.isEmpty()) {
            return;
        }
        List<CallEvent> delivered = List.copyOf(events);
        events.clear();
        delivered.forEach(listener);
    }

    private void applyClaimed(long offset, long logTimeMs, CallClaimed claimed) {
        if (claimed.getKey().isEmpty()
                || claimed.getHolder().isEmpty()
                || state.calls.containsKey(new Key(claimed.getWorkspace(), claimed.getKey()))) {
            return;
        }
        // An expiry set by a host with a slow clock must not free the key early.
        long expiresMs = Math.max(claimed.getExpiresMs(), logTimeMs);
        state.put(newCall(claimed, offset, expiresMs, Optional.empty()));
        events.add(new CallEvent.Claimed(claimed.getWorkspace(), claimed.getKey(), claimed.getHolder(), offset));
    }

    private void applyFinished(long offset, long logTimeMs, CallFinished finished) {
        KeyedCall call = state.calls.get(new Key(finished.getWorkspace(), finished.getKey()));
        if (call == null
                || call.finished().isPresent()
                || finished.getClaim() != call.claim()
                || finished.getClaim() >= offset) {
            return;
        }
        CallOutcome outcome = finished.getOutcome();
        switch (outcome) {
            case NOT_RUN -> state.remove(call);
            case DONE, UNKNOWN -> {
                state.remove(call);
                state.put(new KeyedCall(
                        call.workspace(),
                        call.key(),
                        call.route(),
                        call.digest(),
                        call.holder(),
                        call.claim(),
                        Instant.ofEpochMilli(Math.max(call.expires().toEpochMilli(), logTimeMs)),
                        Optional.of(finished)));
            }
            default -> {
                return;
            }
        }
        events.add(new CallEvent.Finished(call.workspace(), call.key(), call.claim(), outcome));
    }

    private static KeyedCall newCall(CallClaimed claim, long offset, long expiresMs, Optional<CallFinished> finished) {
        return new KeyedCall(
                claim.getWorkspace(),
                claim.getKey(),
                claim.getRoute(),
                claim.getDigest(),
                claim.getHolder(),
                offset,
                Instant.ofEpochMilli(expiresMs),
                finished);
    }

    private record Key(String workspace, String key) {}

    private static final class State {
        final Map<Key, KeyedCall> calls =
                new TreeMap<>(Comparator.comparing(Key::workspace).thenComparing(Key::key));
        final TreeSet<KeyedCall> byExpiry = new TreeSet<>(BY_EXPIRY);

        void put(KeyedCall call) {
            calls.put(new Key(call.workspace(), call.key()), call);
            byExpiry.add(call);
        }

        void remove(KeyedCall call) {
            calls.remove(new Key(call.workspace(), call.key()));
            byExpiry.remove(call);
        }
    }
}
