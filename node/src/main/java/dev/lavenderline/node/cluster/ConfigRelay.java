package dev.lavenderline.node.cluster;

import com.google.protobuf.ByteString;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.config.ConfigLedger;
import dev.lavenderline.log.LogRecord;
import dev.lavenderline.node.NodeEvent;
import dev.lavenderline.node.log.LogStream;
import dev.lavenderline.proto.peer.ConfigPull;
import dev.lavenderline.proto.peer.ConfigRecord;
import dev.lavenderline.proto.peer.ConfigRecords;
import dev.lavenderline.proto.peer.Frame;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Reads configuration records from a peer while this node cannot reach the log.
 *
 * <p>Invariant: records are applied in offset order without gaps, so the state equals that of a reader of the log. Not
 * thread-safe; confined to the node's event loop.
 */
public final class ConfigRelay {
    /** Age of the last read of the log above which a peer is asked. */
    private static final Duration MAX_READ_AGE = Duration.ofSeconds(3);

    private final Cluster cluster;
    private final LogStream<ConfigLedger> config;
    private final Ticker ticker;
    private Optional<Long> lastCompleteAnswer = Optional.empty();
    private String askedPeer = "";

    public ConfigRelay(Cluster cluster, LogStream<ConfigLedger> config, Ticker ticker) {
        this.cluster = cluster;
        this.config = config;
        this.ticker = ticker;
    }

    /** Requests records from a peer if this node's own reads fail; call about once a second. */
    public void check() {
        if (config.isFresh(MAX_READ_AGE)) {
            return;
        }
        Optional<String> peer = cluster.peerWithNewerConfig(config.ledger().revision())
                .or(() -> cluster.connectedNodes().stream().findFirst());
        peer.ifPresent(node -> {
            askedPeer = node;
            ConfigPull pull = ConfigPull.newBuilder()
                    .setFromOffset(config.follower().position() + 1)
                    .build();
            cluster.send(node, Frame.newBuilder().setConfigPull(pull).build());
        });
    }

    /**
     * Returns whether this node's configuration may be used for new requests: it was read within the limit, or this
     * node is not isolated and no connected peer has a newer one, which suggests that no node can reach the log. Such
     * an outage must not stop requests that need no record.
     */
    public boolean isUsable(Duration limit) {
        boolean isRelayed =
                lastCompleteAnswer.isPresent() && ticker.nanos() - lastCompleteAnswer.get() <= limit.toNanos();
        if (isRelayed || config.isFresh(limit)) {
            return true;
        }
        return !cluster.isIsolated()
                && cluster.peerWithNewerConfig(config.ledger().revision()).isEmpty();
    }

    /** Sends recently applied records to a peer, unless this node's own reads fail too. */
    void answerPull(String node, ConfigPull pull) {
        if (!config.isFresh(MAX_READ_AGE)) {
            return;
        }
        ConfigRecords.Builder records =
                ConfigRecords.newBuilder().setNextOffset(config.follower().position() + 1);
        for (LogRecord record : config.follower().recentRecords(pull.getFromOffset())) {
            records.addRecords(ConfigRecord.newBuilder()
                    .setOffset(record.offset())
                    .setTimeMs(record.time().toEpochMilli())
                    .setData(ByteString.copyFrom(record.data())));
        }
        cluster.send(node, Frame.newBuilder().setConfigRecords(records).build());
    }

    /** Applies records that a peer sent. */
    void receive(ConfigRecords records) {
        long first = config.follower().position() + 1;
        List<LogRecord> decoded = records.getRecordsList().stream()
                .map(record -> new LogRecord(
                        record.getOffset(),
                        Instant.ofEpochMilli(record.getTimeMs()),
                        record.getData().toByteArray()))
                .toList();
        int applied = config.follower().apply(decoded);
        if (config.follower().position() + 1 >= records.getNextOffset()) {
            lastCompleteAnswer = Optional.of(ticker.nanos());
        }
        if (applied > 0) {
            NodeEvent.CONFIG_PULLED.log(first, config.follower().position(), askedPeer);
        }
    }
}
