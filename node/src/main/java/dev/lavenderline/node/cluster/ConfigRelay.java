package dev.lavenderline.node.cluster;

import com.google.protobuf.ByteString;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.config.ConfigLedger;
import dev.lavenderline.log.LogRecord;
import dev.lavenderline.node.NodeEvent;
import dev.lavenderline.node.log.LoggedStream;
import dev.lavenderline.proto.peer.ConfigPull;
import dev.lavenderline.proto.peer.ConfigRecord;
import dev.lavenderline.proto.peer.ConfigRecords;
import dev.lavenderline.proto.peer.Frame;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Reads configuration records through a peer while this node cannot reach the log.
 *
 * <p>Invariant: records are folded in offset order without gaps, so the state equals that of a reader of the log. Not
 * thread-safe; confined to the node's event loop.
 */
public final class ConfigRelay {
    /** Age of the last read after which a peer is asked. */
    private static final Duration STALE = Duration.ofSeconds(3);

    private final Cluster cluster;
    private final LoggedStream<ConfigLedger> config;
    private final Ticker ticker;
    private Optional<Long> lastAnswer = Optional.empty();
    private String asked = "";

    public ConfigRelay(Cluster cluster, LoggedStream<ConfigLedger> config, Ticker ticker) {
        this.cluster = cluster;
        this.config = config;
        this.ticker = ticker;
    }

    /** Asks a peer if this node's own reads fail; call about once a second. */
    public void check() {
        if (config.isFresh(STALE)) {
            return;
        }
        Optional<String> peer = cluster.peerAhead(config.ledger().revision())
                .or(() -> cluster.connected().stream().findFirst());
        peer.ifPresent(node -> {
            asked = node;
            ConfigPull pull = ConfigPull.newBuilder()
                    .setFromOffset(config.follower().position() + 1)
                    .build();
            cluster.send(node, Frame.newBuilder().setConfigPull(pull).build());
        });
    }

    /**
     * Returns whether this node's configuration may be used for new requests: it was read within the limit, or the log
     * answers nobody, as far as the connected peers show. An outage of the log for all nodes must not stop requests that
     * need no record.
     */
    public boolean isInForce(Duration limit) {
        boolean isRelayed = lastAnswer.isPresent() && ticker.nanos() - lastAnswer.get() <= limit.toNanos();
        if (isRelayed || config.isFresh(limit)) {
            return true;
        }
        return !cluster.isIsolated()
                && cluster.peerAhead(config.ledger().revision()).isEmpty();
    }

    /** Answers a peer with records that this node folded recently, unless its own reads fail too. */
    void answer(String node, ConfigPull pull) {
        if (!config.isFresh(STALE)) {
            return;
        }
        ConfigRecords.Builder records =
                ConfigRecords.newBuilder().setNextOffset(config.follower().position() + 1);
        for (LogRecord record : config.follower().recent(pull.getFromOffset())) {
            records.addRecords(ConfigRecord.newBuilder()
                    .setOffset(record.offset())
                    .setTimeMs(record.time().toEpochMilli())
                    .setData(ByteString.copyFrom(record.data())));
        }
        cluster.send(node, Frame.newBuilder().setConfigRecords(records).build());
    }

    /** Folds records that a peer read. */
    void received(ConfigRecords records) {
        long first = config.follower().position() + 1;
        List<LogRecord> read = records.getRecordsList().stream()
                .map(record -> new LogRecord(
                        record.getOffset(),
                        Instant.ofEpochMilli(record.getTimeMs()),
                        record.getData().toByteArray()))
                .toList();
        int folded = config.follower().fold(read);
        if (config.follower().position() + 1 >= records.getNextOffset()) {
            lastAnswer = Optional.of(ticker.nanos());
        }
        if (folded > 0) {
            NodeEvent.CONFIG_PULLED.log(first, config.follower().position(), asked);
        }
    }
}
