package dev.lavenderline.serving.node;

import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.store.KeyedListener;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the directory of upstreams up to date. An entry that can't be read names no upstream. Upstreams repeat their
 * entries again and again; one that only repeats the last one is not decoded.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class UpstreamFollower implements KeyedListener {
    private final ControlRecords records;
    private final UpstreamDirectory directory;
    private final EventLog log;
    private final Map<String, Entry> entries = new HashMap<>();

    /** The part of an upstream's last entry that does not change by itself, and what it says. */
    private record Entry(byte[] content, Upstream upstream) {}

    UpstreamFollower(ControlRecords records, UpstreamDirectory directory, EventLog log) {
        this.records = records;
        this.directory = directory;
        this.log = log;
    }

    @Override
    public void caughtUp() {
        directory.storeAnswered();
    }

    @Override
    public void reset(List<KeyedRecord> newest) {
        directory.storeAnswered();
        Map<String, Upstream> current = new HashMap<>();
        for (KeyedRecord record : newest) {
            if (!record.deletion()) {
                read(record).ifPresent(upstream -> current.put(upstream.id(), upstream));
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
        Optional<Upstream> read = read(record);
        if (read.isEmpty()) {
            directory.remove(record.key());
            return;
        }
        Upstream upstream = read.get();
        if (!directory.find(upstream.id()).equals(read)) {
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

    private Optional<Upstream> read(KeyedRecord record) {
        byte[] value = record.value();
        int length = records.lengthOfContent(value);
        Entry before = entries.get(record.key());
        if (before != null && Arrays.equals(before.content(), 0, before.content().length, value, 0, length)) {
            return Optional.of(before.upstream());
        }
        Either<String, Upstream> read = records.upstream(record.key(), value);
        if (read.isLeft()) {
            entries.remove(record.key());
            log.event(ServingEvent.UPSTREAM_MALFORMED, "upstream", record.key(), "message", read.getLeft());
            return Optional.empty();
        }
        entries.put(record.key(), new Entry(Arrays.copyOf(value, length), read.get()));
        return Optional.of(read.get());
    }
}
