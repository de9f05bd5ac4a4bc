package dev.lavenderline.node.cluster;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.config.ConfigLedger;
import dev.lavenderline.node.NodeEvent;
import dev.lavenderline.node.log.LoggedStream;
import dev.lavenderline.platform.LogRecord;
import dev.lavenderline.platform.LogService;
import dev.lavenderline.platform.LogSlice;
import dev.lavenderline.platform.LogWriter;
import dev.lavenderline.proto.log.RecordBatch;
import dev.lavenderline.proto.peer.ConfigPull;
import dev.lavenderline.proto.peer.ConfigRecord;
import dev.lavenderline.proto.peer.ConfigRecords;
import dev.lavenderline.proto.peer.Frame;
import java.time.Duration;
import java.time.Instant;
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

    private static final int MAX_BYTES = 512 * 1024;

    private final Cluster cluster;
    private final LogService log;
    private final LoggedStream<ConfigLedger> config;
    private final Ticker ticker;
    private Optional<Long> lastAnswer = Optional.empty();
    private String asked = "";

    public ConfigRelay(Cluster cluster, LogService log, LoggedStream<ConfigLedger> config, Ticker ticker) {
        this.cluster = cluster;
        this.log = log;
        this.config = config;
        this.ticker = ticker;
    }

    /** Asks a peer if this node's own reads fail; call about once a second. */
    public void check() {
        if (config.isFresh(STALE)) {
            return;
        }
        Optional<String> peer = cluster.peerAhead(config.ledger().revision());
        peer.ifPresent(node -> {
            asked = node;
            ConfigPull pull = ConfigPull.newBuilder()
                    .setFromOffset(config.ledger().position() + 1)
                    .build();
            cluster.send(node, Frame.newBuilder().setConfigPull(pull).build());
        });
    }

    /** Returns whether the configuration was read from the log or a peer within the limit. */
    public boolean isFresh(Duration limit) {
        boolean isRelayed = lastAnswer.isPresent() && ticker.nanos() - lastAnswer.get() <= limit.toNanos();
        return isRelayed || config.isFresh(limit);
    }

    /** Answers a peer with records of the log, if this node can read them. */
    void answer(String node, ConfigPull pull) {
        log.read(config.writer().stream(), pull.getFromOffset(), MAX_BYTES, Duration.ZERO)
                .subscribe()
                .with(result -> result.forEach(slice -> send(node, slice)));
    }

    private void send(String node, LogSlice slice) {
        ConfigRecords.Builder records = ConfigRecords.newBuilder().setNextOffset(slice.nextOffset());
        for (LogRecord record : slice.records()) {
            records.addRecords(ConfigRecord.newBuilder()
                    .setOffset(record.offset())
                    .setTimeMs(record.time().toEpochMilli())
                    .setData(ByteString.copyFrom(record.data())));
        }
        cluster.send(node, Frame.newBuilder().setConfigRecords(records).build());
    }

    /** Folds records that a peer read. */
    void received(ConfigRecords records) {
        long first = config.ledger().position() + 1;
        for (ConfigRecord record : records.getRecordsList()) {
            if (record.getOffset() > config.ledger().position() + 1) {
                return;
            }
            if (!fold(record)) {
                return;
            }
        }
        if (config.ledger().position() + 1 >= records.getNextOffset()) {
            lastAnswer = Optional.of(ticker.nanos());
        }
        if (config.ledger().position() >= first) {
            NodeEvent.CONFIG_PULLED.log(first, config.ledger().position(), asked);
        }
        config.folded();
    }

    private boolean fold(ConfigRecord record) {
        try {
            RecordBatch batch = RecordBatch.parseFrom(record.getData());
            if (batch.getVersion() != LogWriter.BATCH_VERSION) {
                return false;
            }
            config.ledger().apply(record.getOffset(), Instant.ofEpochMilli(record.getTimeMs()), batch);
            return true;
        } catch (InvalidProtocolBufferException e) {
            // The follower skips such a record when it can read the log again; until then nothing after it is folded.
            return false;
        }
    }
}
