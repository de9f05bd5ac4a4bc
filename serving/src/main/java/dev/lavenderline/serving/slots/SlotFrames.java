package dev.lavenderline.serving.slots;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.proto.slots.Acquire;
import dev.lavenderline.proto.slots.Granted;
import dev.lavenderline.proto.slots.Hello;
import dev.lavenderline.proto.slots.Outcome;
import dev.lavenderline.proto.slots.Ping;
import dev.lavenderline.proto.slots.Pong;
import dev.lavenderline.proto.slots.Preempt;
import dev.lavenderline.proto.slots.Rejected;
import dev.lavenderline.proto.slots.Release;
import dev.lavenderline.proto.slots.RunItem;
import dev.lavenderline.proto.slots.SlotFrame;
import dev.lavenderline.proto.slots.Suspect;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Frames of the slot protocol: four bytes of length, then a protobuf message. Stateless and thread-safe. */
final class SlotFrames {
    /** Largest frame; a hello of a node with a thousand slots has about 60 KB. */
    static final int LARGEST = 1 << 20;

    private SlotFrames() {}

    private static Buffer frame(SlotFrame.Builder frame) {
        byte[] bytes = frame.build().toByteArray();
        return Buffer.buffer(bytes.length + 4).appendInt(bytes.length).appendBytes(bytes);
    }

    static Buffer hello(NodeEntry self, Collection<Holding> holdings) {
        Hello.Builder hello = Hello.newBuilder()
                .setNode(self.name())
                .setZone(self.failureDomain())
                .setCapacityMilli((int) Math.round(self.capacity() * 1000));
        for (Holding holding : holdings) {
            dev.lavenderline.proto.slots.Holding.Builder entry =
                    hello.addHoldingsBuilder().setLease(holding.lease()).setUpstream(holding.upstream());
            holding.item().ifPresent(item -> entry.setJob(item.job()).setItem(item.index()));
        }
        return frame(SlotFrame.newBuilder().setHello(hello));
    }

    static List<Holding> holdings(Hello hello) {
        return hello.getHoldingsList().stream()
                .map(entry -> new Holding(
                        entry.getLease(),
                        entry.getUpstream(),
                        entry.getJob().isEmpty()
                                ? Optional.empty()
                                : Optional.of(new ItemRef(entry.getJob(), entry.getItem()))))
                .toList();
    }

    static Buffer acquire(SlotRequest request) {
        return frame(SlotFrame.newBuilder()
                .setAcquire(Acquire.newBuilder()
                        .setLease(request.lease())
                        .setService(request.service())
                        .setTargetLeftMs((int) request.targetLeft().toMillis())
                        .setDeadlineLeftMs(
                                (int) Math.max(0, request.deadlineLeft().toMillis()))
                        .addAllExcluded(request.excluded())
                        .setPrefix(request.prefix())
                        .setReturning(request.returning())));
    }

    static SlotRequest request(String node, Acquire acquire) {
        return new SlotRequest(
                node,
                acquire.getLease(),
                acquire.getService(),
                Duration.ofMillis(acquire.getTargetLeftMs()),
                Duration.ofMillis(acquire.getDeadlineLeftMs()),
                Set.copyOf(acquire.getExcludedList()),
                acquire.getPrefix(),
                acquire.getReturning());
    }

    static Buffer release(long lease, LeaseEnd end, int keptEvents) {
        return frame(SlotFrame.newBuilder()
                .setRelease(Release.newBuilder()
                        .setLease(lease)
                        .setOutcome(outcome(end))
                        .setEvents(keptEvents)));
    }

    static Buffer suspect(String upstream) {
        return frame(SlotFrame.newBuilder().setSuspect(Suspect.newBuilder().setUpstream(upstream)));
    }

    static Buffer ping(long sequence) {
        return frame(SlotFrame.newBuilder().setPing(Ping.newBuilder().setSequence(sequence)));
    }

    static Buffer pong(long sequence, Duration storeAge) {
        return frame(SlotFrame.newBuilder()
                .setPong(Pong.newBuilder().setSequence(sequence).setStoreAgeMs((int)
                        Math.min(Integer.MAX_VALUE, storeAge.toMillis()))));
    }

    static Buffer granted(long lease, String upstream) {
        return frame(SlotFrame.newBuilder()
                .setGranted(Granted.newBuilder().setLease(lease).setUpstream(upstream)));
    }

    static Buffer rejected(long lease, Duration retryAfter) {
        return frame(SlotFrame.newBuilder()
                .setRejected(Rejected.newBuilder().setLease(lease).setRetryAfterMs((int) retryAfter.toMillis())));
    }

    static Buffer run(long lease, String upstream, ItemRef item) {
        return frame(SlotFrame.newBuilder()
                .setRunItem(RunItem.newBuilder()
                        .setLease(lease)
                        .setUpstream(upstream)
                        .setJob(item.job())
                        .setItem(item.index())));
    }

    static Buffer preempt(long lease) {
        return frame(SlotFrame.newBuilder().setPreempt(Preempt.newBuilder().setLease(lease)));
    }

    static LeaseEnd leaseEnd(Outcome outcome) {
        return switch (outcome) {
            case OUTCOME_COMPLETED -> LeaseEnd.COMPLETED;
            case OUTCOME_UPSTREAM_UNREACHABLE -> LeaseEnd.UPSTREAM_UNREACHABLE;
            case OUTCOME_ANSWER_LOST -> LeaseEnd.ANSWER_LOST;
            case OUTCOME_UPSTREAM_FULL -> LeaseEnd.UPSTREAM_FULL;
            case OUTCOME_UPSTREAM_GONE -> LeaseEnd.UPSTREAM_GONE;
            case OUTCOME_ITEM_FAILED -> LeaseEnd.ITEM_FAILED;
            case OUTCOME_UPSTREAM_FAILED -> LeaseEnd.UPSTREAM_FAILED;
            case OUTCOME_ITEM_UNKNOWN -> LeaseEnd.ITEM_UNKNOWN;
            case OUTCOME_NODE_DECLINED -> LeaseEnd.NODE_DECLINED;
            case OUTCOME_CANCELLED, UNRECOGNIZED -> LeaseEnd.CANCELLED;
        };
    }

    private static Outcome outcome(LeaseEnd end) {
        return switch (end) {
            case COMPLETED -> Outcome.OUTCOME_COMPLETED;
            case CANCELLED -> Outcome.OUTCOME_CANCELLED;
            case UPSTREAM_UNREACHABLE -> Outcome.OUTCOME_UPSTREAM_UNREACHABLE;
            case ANSWER_LOST -> Outcome.OUTCOME_ANSWER_LOST;
            case UPSTREAM_FULL -> Outcome.OUTCOME_UPSTREAM_FULL;
            case UPSTREAM_GONE -> Outcome.OUTCOME_UPSTREAM_GONE;
            case ITEM_FAILED -> Outcome.OUTCOME_ITEM_FAILED;
            case UPSTREAM_FAILED -> Outcome.OUTCOME_UPSTREAM_FAILED;
            case ITEM_UNKNOWN -> Outcome.OUTCOME_ITEM_UNKNOWN;
            case NODE_DECLINED -> Outcome.OUTCOME_NODE_DECLINED;
        };
    }

    /** Splits a byte stream into frames. Not thread-safe. */
    static final class Reader implements Handler<Buffer> {
        private final Handler<SlotFrame> sink;
        private final Handler<String> malformed;
        private Buffer pending = Buffer.buffer();

        Reader(Handler<SlotFrame> sink, Handler<String> malformed) {
            this.sink = sink;
            this.malformed = malformed;
        }

        @Override
        public void handle(Buffer piece) {
            pending.appendBuffer(piece);
            int at = 0;
            while (pending.length() - at >= 4) {
                int length = pending.getInt(at);
                if (length < 0 || length > LARGEST) {
                    malformed.handle("frame of " + length + " bytes, at most " + LARGEST + " are allowed");
                    return;
                }
                if (pending.length() - at - 4 < length) {
                    break;
                }
                byte[] bytes = pending.getBytes(at + 4, at + 4 + length);
                at += 4 + length;
                try {
                    sink.handle(SlotFrame.parseFrom(bytes));
                } catch (InvalidProtocolBufferException e) {
                    malformed.handle(e.getMessage());
                    return;
                }
            }
            pending = at == 0 ? pending : pending.getBuffer(at, pending.length());
        }
    }
}
