package dev.lavenderline.serving.node;

import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.store.KeyedListener;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.workspaces.ClockReading;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the directory of upstreams up to date. A malformed entry counts as removed. Upstreams rewrite their entries
 * with each heartbeat; an entry with the same content as the previous one is not decoded again.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class UpstreamFollower implements KeyedListener {
    private final ControlRecordDecoder decoder;
    private final UpstreamDirectory directory;
    private final EventLog log;
    private final Map<String, DecodedEntry> entries = new HashMap<>();

    /** Content of an upstream's last entry, without the part that differs in each record, and the decoded upstream. */
    private record DecodedEntry(byte[] content, Upstream upstream) {}

    UpstreamFollower(ControlRecordDecoder decoder, UpstreamDirectory directory, EventLog log) {
        this.decoder = decoder;
        this.directory = directory;
        this.log = log;
    }

    @Override
    public void caughtUp() {
        directory.recordStoreResponse();
    }

    @Override
    public void endReached(ClockReading asked) {
        directory.servedVersions().listConfirmed(asked);
    }

    @Override
    public void reset(List<KeyedRecord> newest) {
        directory.recordStoreResponse();
        Map<String, Upstream> current = new HashMap<>();
        for (KeyedRecord record : newest) {
            if (!record.deletion()) {
                FailureGuard.run(
                        log,
                        () -> decode(record).ifPresent(upstream -> current.put(upstream.id(), upstream)),
                        "upstream",
                        record.key());
            }
        }
        directory.replaceAll(current.values());
        entries.keySet().retainAll(current.keySet());
        log.event(ServingEvent.UPSTREAM_CHANGED, "upstreams", current.size());
    }

    @Override
    public void record(KeyedRecord record) {
        if (record.deletion()) {
            log.event(ServingEvent.UPSTREAM_CHANGED, "upstream", record.key(), "state", "removed");
            directory.remove(record.key());
            entries.remove(record.key());
            return;
        }
        Optional<Upstream> decoded = decode(record);
        if (decoded.isEmpty()) {
            directory.remove(record.key());
            return;
        }
        Upstream upstream = decoded.get();
        if (!directory.find(upstream.id()).equals(decoded)) {
            log.event(
                    ServingEvent.UPSTREAM_CHANGED,
                    "upstream",
                    upstream.id(),
                    "service",
                    upstream.service(),
                    "state",
                    upstream.draining() ? "draining" : "open",
                    "slots",
                    upstream.slots());
        }
        directory.put(upstream);
    }

    private Optional<Upstream> decode(KeyedRecord record) {
        byte[] value = record.value();
        int length = decoder.contentLength(value);
        DecodedEntry previous = entries.get(record.key());
        if (previous != null && Arrays.equals(previous.content(), 0, previous.content().length, value, 0, length)) {
            return Optional.of(previous.upstream());
        }
        Either<String, Upstream> decoded = decoder.upstream(record.key(), value);
        if (decoded.isLeft()) {
            entries.remove(record.key());
            log.event(ServingEvent.UPSTREAM_MALFORMED, "upstream", record.key(), "message", decoded.getLeft());
            return Optional.empty();
        }
        entries.put(record.key(), new DecodedEntry(Arrays.copyOf(value, length), decoded.get()));
        return Optional.of(decoded.get());
    }
}
