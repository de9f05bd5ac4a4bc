package dev.lavenderline.serving.slots;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.proto.slots.Acquire;
import dev.lavenderline.proto.slots.ConfigRecord;
import dev.lavenderline.proto.slots.ConfigRequest;
import dev.lavenderline.proto.slots.Granted;
import dev.lavenderline.proto.slots.Hello;
import dev.lavenderline.proto.slots.Leaving;
import dev.lavenderline.proto.slots.Origin;
import dev.lavenderline.proto.slots.Outcome;
import dev.lavenderline.proto.slots.Ping;
import dev.lavenderline.proto.slots.Pong;
import dev.lavenderline.proto.slots.Preempt;
import dev.lavenderline.proto.slots.PromptEnded;
import dev.lavenderline.proto.slots.PromptRejected;
import dev.lavenderline.proto.slots.Rejected;
import dev.lavenderline.proto.slots.Release;
import dev.lavenderline.proto.slots.RequestSuspected;
import dev.lavenderline.proto.slots.RunItem;
import dev.lavenderline.proto.slots.SlotFrame;
import dev.lavenderline.proto.slots.StreamsBegan;
import dev.lavenderline.proto.slots.Suspect;
import dev.lavenderline.serving.upstreams.ServedVersions;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.UpstreamNotice;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/** Frames of the slot protocol: a four-byte length, then a protobuf message. Stateless and thread-safe. */
final class SlotFrames {
    /** Largest accepted frame; the hello of a node with a thousand slots has about 60 KB. */
    static final int MAX_FRAME_BYTES = 1 << 20;

    private SlotFrames() {}

    static Buffer frame(SlotFrame.Builder frame) {
        byte[] bytes = frame.build().toByteArray();
        return Buffer.buffer(bytes.length + 4).appendInt(bytes.length).appendBytes(bytes);
    }

    static Buffer hello(
            NodeEntry self,
            Collection<Holding> holdings,
            List<StreamVersions.Group> streams,
            List<UpstreamNotice> notices,
            Map<String, List<Integer>> quotaUsage,
            ServedVersions versions) {
        Hello.Builder hello = VersionFrames.write(versions, Hello.newBuilder())
                .addAllUsage(QuotaFrames.usage(quotaUsage))
                .addAllNotices(notices.stream().map(SlotFrames::encode).toList())
                .addAllStreams(streams.stream().map(SlotFrames::encode).toList())
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

    /** The scheduler's reply to the hello of a node. */
    static Buffer reply(String node, ServedVersions versions) {
        return frame(SlotFrame.newBuilder()
                .setHello(VersionFrames.write(versions, Hello.newBuilder()).setNode(node)));
    }

    private static StreamsBegan encode(StreamVersions.Group streams) {
        return StreamsBegan.newBuilder()
                .setService(streams.served().service())
                .setVersion(streams.served().version())
                .addAllAttempts(streams.names())
                .build();
    }

    static Buffer streamsBegan(StreamVersions.Group streams) {
        return frame(SlotFrame.newBuilder().setStreamsBegan(encode(streams)));
    }

    static StreamVersions.Group streams(StreamsBegan frame) {
        return new StreamVersions.Group(
                new ServiceVersion(frame.getService(), frame.getVersion()), frame.getAttemptsList());
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
        Acquire.Builder acquire = Acquire.newBuilder()
                .setLease(request.lease())
                .setService(request.service())
                .setTargetLeftMs((int) request.timeToTarget().toMillis())
                .setDeadlineLeftMs((int) Math.max(0, request.timeToDeadline().toMillis()))
                .addAllExcluded(request.excluded())
                .setPrefix(request.prefix())
                .setReturning(request.retry())
                .setWorkspace(request.workspace())
                .setPriority(request.priority())
                .setCharged(request.charged())
                .setPromptTokens(request.promptTokens())
                .setOutputTokens(request.maxOutputTokens())
                .setSharedTokens(request.sharedTokens());
        request.origin()
                .ifPresent(origin -> acquire.setOrigin(Origin.newBuilder()
                        .setService(origin.served().map(ServiceVersion::service).orElse(""))
                        .setVersion(origin.served().map(ServiceVersion::version).orElse(""))
                        .setAttempt(origin.attempt().orElse(""))
                        .setContent(origin.content().orElse(""))
                        .addAllServices(origin.services())));
        return frame(SlotFrame.newBuilder().setAcquire(acquire));
    }

    private static Optional<StreamOrigin> origin(Acquire acquire, long receivedNanos) {
        if (!acquire.hasOrigin()) {
            return Optional.empty();
        }
        Origin origin = acquire.getOrigin();
        return Optional.of(new StreamOrigin(
                nonEmpty(origin.getVersion()).map(version -> new ServiceVersion(origin.getService(), version)),
                nonEmpty(origin.getAttempt()),
                nonEmpty(origin.getContent()),
                Set.copyOf(origin.getServicesList()),
                receivedNanos));
    }

    private static Optional<String> nonEmpty(String text) {
        return text.isEmpty() ? Optional.empty() : Optional.of(text);
    }

    /** Returns the request of a node that this process received at a monotonic time. */
    static SlotRequest request(String node, Acquire acquire, long receivedNanos) {
        return new SlotRequest(
                node,
                acquire.getLease(),
                acquire.getService(),
                Duration.ofMillis(acquire.getTargetLeftMs()),
                Duration.ofMillis(acquire.getDeadlineLeftMs()),
                Set.copyOf(acquire.getExcludedList()),
                acquire.getPrefix(),
                acquire.getReturning(),
                origin(acquire, receivedNanos),
                acquire.getWorkspace(),
                acquire.getPriority(),
                acquire.getCharged(),
                acquire.getPromptTokens(),
                acquire.getOutputTokens(),
                acquire.getSharedTokens());
    }

    static Buffer release(long lease, ReleaseReason reason, int keptEvents) {
        return frame(SlotFrame.newBuilder()
                .setRelease(Release.newBuilder()
                        .setLease(lease)
                        .setOutcome(outcome(reason))
                        .setEvents(keptEvents)));
    }

    static Buffer leaving() {
        return frame(SlotFrame.newBuilder().setLeaving(Leaving.getDefaultInstance()));
    }

    static Buffer suspect(String upstream) {
        return frame(SlotFrame.newBuilder().setSuspect(Suspect.newBuilder().setUpstream(upstream)));
    }

    static Buffer ping(long sequence, ConfigStatement config, long echo, List<NodeSighting> sightings) {
        return frame(SlotFrame.newBuilder()
                .setPing(Ping.newBuilder()
                        .setSequence(sequence)
                        .setConfigVersion(config.version())
                        .setConfigAgeMs(config.ageMillis())
                        .setEcho(echo)
                        .addAllSightings(SightingFrames.write(sightings))));
    }

    static Buffer pong(
            long sequence, Duration jobStateAge, ConfigStatement config, long stamp, List<NodeSighting> sightings) {
        return frame(SlotFrame.newBuilder()
                .setPong(Pong.newBuilder()
                        .setSequence(sequence)
                        .setStoreAgeMs((int) Math.min(Integer.MAX_VALUE, jobStateAge.toMillis()))
                        .setConfigVersion(config.version())
                        .setConfigAgeMs(config.ageMillis())
                        .setStamp(stamp)
                        .addAllSightings(SightingFrames.write(sightings))));
    }

    static Buffer configRequest(long heldVersion) {
        return frame(SlotFrame.newBuilder()
                .setConfigRequest(ConfigRequest.newBuilder().setVersion(heldVersion)));
    }

    static Buffer configRecord(long version, byte[] value) {
        return frame(SlotFrame.newBuilder()
                .setConfigRecord(ConfigRecord.newBuilder().setVersion(version).setValue(ByteString.copyFrom(value))));
    }

    static Buffer granted(long lease, String upstream, String version) {
        return frame(SlotFrame.newBuilder()
                .setGranted(Granted.newBuilder()
                        .setLease(lease)
                        .setUpstream(upstream)
                        .setVersion(version)));
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

    static Buffer requestCompleted(RequestTraits traits) {
        return frame(SlotFrame.newBuilder().setPromptEnded(ended(traits)));
    }

    private static PromptEnded.Builder ended(RequestTraits traits) {
        return PromptEnded.newBuilder().addAllParts(traits.sharedParts()).setRequest(traits.hash());
    }

    static Buffer requestSuspected(long request) {
        return frame(SlotFrame.newBuilder()
                .setRequestSuspected(RequestSuspected.newBuilder().setRequest(request)));
    }

    static Buffer requestCrashed(RequestTraits traits, String upstream, Duration age) {
        return frame(SlotFrame.newBuilder()
                .setPromptEnded(ended(traits).setCrashedUpstream(upstream).setAgeMs((int)
                        Math.min(Integer.MAX_VALUE, age.toMillis()))));
    }

    static Buffer promptRejected(Set<Long> parts) {
        return frame(SlotFrame.newBuilder()
                .setPromptRejected(PromptRejected.newBuilder().addAllParts(parts)));
    }

    static Buffer upstreamNotice(UpstreamNotice notice) {
        return frame(SlotFrame.newBuilder().setUpstreamNotice(encode(notice)));
    }

    private static dev.lavenderline.proto.slots.UpstreamNotice encode(UpstreamNotice notice) {
        dev.lavenderline.proto.slots.UpstreamNotice.Builder frame =
                dev.lavenderline.proto.slots.UpstreamNotice.newBuilder()
                        .setUpstream(notice.upstream())
                        .setStartedUnixMs(notice.startedMillis())
                        .setLeaving(notice.leaving());
        notice.limit().ifPresent(frame::setLimit);
        return frame.build();
    }

    static UpstreamNotice upstreamNotice(dev.lavenderline.proto.slots.UpstreamNotice frame) {
        return new UpstreamNotice(
                frame.getUpstream(),
                frame.getStartedUnixMs(),
                frame.getLeaving(),
                frame.hasLimit() ? OptionalDouble.of(frame.getLimit()) : OptionalDouble.empty());
    }

    static ReleaseReason releaseReason(Outcome outcome) {
        return switch (outcome) {
            case OUTCOME_COMPLETED -> ReleaseReason.COMPLETED;
            case OUTCOME_UPSTREAM_UNREACHABLE -> ReleaseReason.UPSTREAM_UNREACHABLE;
            case OUTCOME_ANSWER_LOST -> ReleaseReason.ANSWER_LOST;
            case OUTCOME_UPSTREAM_FULL -> ReleaseReason.UPSTREAM_FULL;
            case OUTCOME_UPSTREAM_GONE -> ReleaseReason.UPSTREAM_GONE;
            case OUTCOME_ITEM_FAILED -> ReleaseReason.ITEM_FAILED;
            case OUTCOME_UPSTREAM_FAILED -> ReleaseReason.UPSTREAM_FAILED;
            case OUTCOME_ITEM_UNKNOWN -> ReleaseReason.ITEM_UNKNOWN;
            case OUTCOME_CONTENT_UNREADABLE -> ReleaseReason.CONTENT_UNREADABLE;
            case OUTCOME_NODE_DECLINED -> ReleaseReason.NODE_DECLINED;
            case OUTCOME_CANCELLED, UNRECOGNIZED -> ReleaseReason.CANCELLED;
        };
    }

    private static Outcome outcome(ReleaseReason reason) {
        return switch (reason) {
            case COMPLETED -> Outcome.OUTCOME_COMPLETED;
            case CANCELLED -> Outcome.OUTCOME_CANCELLED;
            case UPSTREAM_UNREACHABLE -> Outcome.OUTCOME_UPSTREAM_UNREACHABLE;
            case ANSWER_LOST -> Outcome.OUTCOME_ANSWER_LOST;
            case UPSTREAM_FULL -> Outcome.OUTCOME_UPSTREAM_FULL;
            case UPSTREAM_GONE -> Outcome.OUTCOME_UPSTREAM_GONE;
            case ITEM_FAILED -> Outcome.OUTCOME_ITEM_FAILED;
            case UPSTREAM_FAILED -> Outcome.OUTCOME_UPSTREAM_FAILED;
            case ITEM_UNKNOWN -> Outcome.OUTCOME_ITEM_UNKNOWN;
            case CONTENT_UNREADABLE -> Outcome.OUTCOME_CONTENT_UNREADABLE;
            case NODE_DECLINED -> Outcome.OUTCOME_NODE_DECLINED;
        };
    }

    /** Decodes frames from a byte stream. Not thread-safe. */
    static final class Decoder implements Handler<Buffer> {
        private final Handler<SlotFrame> frameHandler;
        private final Handler<String> errorHandler;
        private Buffer pending = Buffer.buffer();

        Decoder(Handler<SlotFrame> frameHandler, Handler<String> errorHandler) {
            this.frameHandler = frameHandler;
            this.errorHandler = errorHandler;
        }

        /** Returns the number of bytes that are kept until their frame is complete. */
        int pendingBytes() {
            return pending.length();
        }

        @Override
        public void handle(Buffer chunk) {
            pending.appendBuffer(chunk);
            int offset = 0;
            while (pending.length() - offset >= 4) {
                int length = pending.getInt(offset);
                if (length < 0 || length > MAX_FRAME_BYTES) {
                    errorHandler.handle(
                            "frame length " + length + " is not between 0 and " + MAX_FRAME_BYTES + " bytes");
                    return;
                }
                if (pending.length() - offset - 4 < length) {
                    break;
                }
                byte[] bytes = pending.getBytes(offset + 4, offset + 4 + length);
                offset += 4 + length;
                try {
                    frameHandler.handle(SlotFrame.parseFrom(bytes));
                } catch (InvalidProtocolBufferException e) {
                    errorHandler.handle(e.getMessage());
                    return;
                }
            }
            pending = offset == 0 ? pending : pending.getBuffer(offset, pending.length());
        }
    }
}
