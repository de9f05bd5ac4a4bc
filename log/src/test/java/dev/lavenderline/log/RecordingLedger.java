package dev.lavenderline.log;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.core.ledger.Ledger;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.FileState;
import dev.lavenderline.proto.log.JobCancelled;
import dev.lavenderline.proto.log.RecordBatch;
import dev.lavenderline.proto.log.SnapshotPart;
import dev.lavenderline.proto.log.WorkState;
import dev.lavenderline.proto.log.WriterState;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Ledger that records the values of all applied entries in order. Contrary to the contract of {@link Ledger}, it
 * accepts snapshots that are not newer than its position, so that tests detect a follower that restores one.
 */
class RecordingLedger implements Ledger {
    private final Map<String, Long> sequences = new TreeMap<>();
    private final List<String> values = new ArrayList<>();
    private final List<Long> restored = new ArrayList<>();
    private long position;

    /** Returns an entry that carries a value. */
    static Entry entry(String value) {
        return Entry.newBuilder()
                .setJobCancelled(JobCancelled.newBuilder().setJobId(value))
                .build();
    }

    /** Returns an encoded batch with one entry for each value. */
    static byte[] batch(String writer, long sequence, String... values) {
        RecordBatch.Builder batch = RecordBatch.newBuilder()
                .setVersion(LogWriter.BATCH_VERSION)
                .setWriter(writer)
                .setSequence(sequence);
        for (String value : values) {
            batch.addEntries(entry(value));
        }
        return batch.build().toByteArray();
    }

    /** Returns an encoded batch with one part of a snapshot. */
    static byte[] snapshotPart(String writer, long sequence, String id, long asOf, int part, int parts, byte[] data) {
        SnapshotPart.Builder snapshot = SnapshotPart.newBuilder()
                .setStream("work")
                .setId(id)
                .setAsOf(asOf)
                .setPart(part)
                .setParts(parts)
                .setData(ByteString.copyFrom(data));
        return RecordBatch.newBuilder()
                .setVersion(LogWriter.BATCH_VERSION)
                .setWriter(writer)
                .setSequence(sequence)
                .addEntries(Entry.newBuilder().setSnapshotPart(snapshot))
                .build()
                .toByteArray();
    }

    List<String> values() {
        return List.copyOf(values);
    }

    /** Returns the offsets of the snapshots that were restored. */
    List<Long> restored() {
        return List.copyOf(restored);
    }

    @Override
    public void apply(long offset, Instant time, RecordBatch batch) {
        if (offset <= position) {
            return;
        }
        position = offset;
        if (batch.getSequence() <= sequences.getOrDefault(batch.getWriter(), 0L)) {
            return;
        }
        sequences.put(batch.getWriter(), batch.getSequence());
        for (Entry entry : batch.getEntriesList()) {
            if (entry.hasJobCancelled()) {
                values.add(entry.getJobCancelled().getJobId());
            }
        }
    }

    @Override
    public long position() {
        return position;
    }

    @Override
    public byte[] snapshot() {
        WorkState.Builder state = WorkState.newBuilder();
        sequences.forEach((writer, sequence) ->
                state.addWriters(WriterState.newBuilder().setWriter(writer).setSequence(sequence)));
        values.forEach(value -> state.addFiles(FileState.newBuilder().setFileId(value)));
        return state.build().toByteArray();
    }

    @Override
    public void restore(long asOf, byte[] state) {
        WorkState parsed;
        try {
            parsed = WorkState.parseFrom(state);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException(e);
        }
        sequences.clear();
        values.clear();
        parsed.getWritersList().forEach(writer -> sequences.put(writer.getWriter(), writer.getSequence()));
        parsed.getFilesList().forEach(file -> values.add(file.getFileId()));
        position = asOf;
        restored.add(asOf);
    }
}
