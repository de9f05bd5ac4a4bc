package dev.lavenderline.node.jobs;

import dev.lavenderline.log.LogWriter;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.ItemResult;
import dev.lavenderline.proto.log.ItemsCompleted;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.ToLongFunction;

/**
 * Buffers results of batch items and writes those of one job together, because the rate of appends is limited.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
final class ResultWriter {
    /** Size limit of an entry with several results; leaves room for entries of other jobs in a batch of 512 KiB. */
    private static final int MAX_ENTRY_BYTES = 256 * 1024;

    private final LogWriter writer;
    private final BiConsumer<String, ItemResult> onDropped;
    private final Map<String, List<ItemResult>> buffered = new HashMap<>();
    private int unacknowledged;

    /**
     * Creates a writer.
     *
     * @param onDropped called for each result that the log writer rejected
     */
    ResultWriter(LogWriter writer, BiConsumer<String, ItemResult> onDropped) {
        this.writer = writer;
        this.onDropped = onDropped;
    }

    void add(String jobId, ItemResult result) {
        buffered.computeIfAbsent(jobId, id -> new ArrayList<>()).add(result);
    }

    /** Discards the buffered results of a job that this node no longer holds. */
    void discard(String jobId) {
        buffered.remove(jobId);
    }

    /** Returns the number of results that are buffered or not acknowledged. */
    int pending() {
        int count = 0;
        for (List<ItemResult> results : buffered.values()) {
            count += results.size();
        }
        return count + unacknowledged;
    }

    /** Passes all buffered results to the log writer. */
    void flush(ToLongFunction<String> claimOf) {
        Map<String, List<ItemResult>> batch = new HashMap<>(buffered);
        buffered.clear();
        batch.forEach((jobId, results) -> write(jobId, claimOf.applyAsLong(jobId), results));
    }

    private void write(String jobId, long claim, List<ItemResult> results) {
        List<ItemResult> part = new ArrayList<>();
        int bytes = 0;
        for (ItemResult result : results) {
            if (!part.isEmpty() && bytes + result.getSerializedSize() > MAX_ENTRY_BYTES) {
                writeEntry(jobId, claim, part);
                part = new ArrayList<>();
                bytes = 0;
            }
            part.add(result);
            bytes += result.getSerializedSize();
        }
        writeEntry(jobId, claim, part);
    }

    private void writeEntry(String jobId, long claim, List<ItemResult> part) {
        Entry entry = Entry.newBuilder()
                .setItemsCompleted(ItemsCompleted.newBuilder()
                        .setJobId(jobId)
                        .setClaim(claim)
                        .addAllResults(part))
                .build();
        unacknowledged += part.size();
        writer.write(entry).subscribe().with(written -> {
            unacknowledged -= part.size();
            if (written.isLeft()) {
                part.forEach(result -> onDropped.accept(jobId, result));
            }
        });
    }
}
