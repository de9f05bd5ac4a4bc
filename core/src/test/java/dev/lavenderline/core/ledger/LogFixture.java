package dev.lavenderline.core.ledger;

import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.RecordBatch;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An in-memory log that applies its records to ledgers. */
public final class LogFixture {
    /** One appended batch. */
    public record Stored(long offset, Instant time, RecordBatch batch) {}

    private final List<Stored> records = new ArrayList<>();
    private final List<Ledger> readers = new ArrayList<>();
    private final Map<String, Long> sequences = new HashMap<>();
    private Instant now = Instant.parse("2026-12-01T00:00:00Z");

    /** Adds ledgers to which each appended record is applied immediately. */
    public LogFixture addReaders(Ledger... ledgers) {
        readers.addAll(List.of(ledgers));
        return this;
    }

    /** Appends a new batch of a writer and returns its offset. */
    public long append(String writer, Entry... entries) {
        return append(batch(writer, List.of(entries)));
    }

    /** Creates a batch with the next sequence number of its writer, without appending it. */
    public RecordBatch batch(String writer, List<Entry> entries) {
        return RecordBatch.newBuilder()
                .setVersion(1)
                .setWriter(writer)
                .setSequence(sequences.merge(writer, 1L, Long::sum))
                .addAllEntries(entries)
                .build();
    }

    /** Appends a batch unchanged, possibly a duplicate, and returns its offset. */
    public long append(RecordBatch batch) {
        Stored stored = new Stored(records.size() + 1L, now, batch);
        records.add(stored);
        readers.forEach(reader -> apply(stored, reader));
        return stored.offset();
    }

    /** Advances the log's clock. */
    public LogFixture advance(Duration duration) {
        now = now.plus(duration);
        return this;
    }

    public Instant now() {
        return now;
    }

    public List<Stored> records() {
        return records;
    }

    /** Applies all records that the ledger has not applied yet. */
    public <L extends Ledger> L catchUp(L ledger) {
        records.stream().filter(stored -> stored.offset() > ledger.position()).forEach(stored -> apply(stored, ledger));
        return ledger;
    }

    public static void apply(Stored stored, Ledger ledger) {
        ledger.apply(stored.offset(), stored.time(), stored.batch());
    }
}
