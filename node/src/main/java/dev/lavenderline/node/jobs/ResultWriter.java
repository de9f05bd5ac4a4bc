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
 * Gathers results of batch items and writes those of one job together, because appends are scarce.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
final class ResultWriter {
    /** Size of one entry in bytes; leaves room for entries of other jobs in a batch of 512 KiB. */
    private static final int ENTRY_BYTES = 256 * 1024;

    private final LogWriter writer;
    private final BiConsumer<String, ItemResult> onDropped;
    private final Map<String, List<ItemResult>> gathered = new HashMap<>();
    private int unacknowledged;

    /**
     * Creates a writer.
     *
     * @param onDropped called for each result that the log writer refused
     */
    ResultWriter(LogWriter writer, BiConsumer<String, ItemResult> onDropped) {
        this.writer = writer;
        this.onDropped = onDropped;
    }

    void add(String jobId, ItemResult result) {
        gathered.computeIfAbsent(jobId, id -> new ArrayList<>()).add(result);
    }

    /** Forgets the results of a job that this node no longer holds. */
    void discard(String jobId) {
        gathered.remove(jobId);
    }

    /** Returns the number of results that are gathered or not acknowledged. */
    int pending() {
        int waiting = 0;
        for (List<ItemResult> results : gathered.values()) {
            waiting += results.size();
        }
        return waiting + unacknowledged;
    }

    /** Hands all gathered results to the log writer. */
    void flush(ToLongFunction<String> claimOf) {
        Map<String, List<ItemResult>> batch = new HashMap<>(gathered);
        gathered.clear();
        batch.forEach((jobId, results) -> write(jobId, claimOf.applyAsLong(jobId), results));
    }

    private void write(String jobId, long claim, List<ItemResult> results) {
        List<ItemResult> part = new ArrayList<>();
        int bytes = 0;
        for (ItemResult result : results) {
            if (!part.isEmpty() && bytes + result.getSerializedSize() > ENTRY_BYTES) {
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
