package dev.lavenderline.standins.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Records of one stream in memory. Not thread-safe; confined to the stand-in's event loop. */
final class RecordStream {
    @SuppressWarnings("ArrayRecordComponent")
    record StoredRecord(long offset, long timeMs, byte[] data) {}

    /** Long-poll reads that wait for the next record. */
    final ArrayDeque<Runnable> waitingReads = new ArrayDeque<>();

    private final ArrayList<StoredRecord> records = new ArrayList<>();
    /** Index of the first retained record; the list is compacted when more than half of its records have expired. */
    private int firstIndex;

    private long nextOffset = 1;
    private long appendCount;
    private long appendedBytes;

    long append(long timeMs, byte[] data) {
        long offset = nextOffset++;
        records.add(new StoredRecord(offset, timeMs, data));
        appendCount++;
        appendedBytes += data.length;
        return offset;
    }

    long firstOffset() {
        return nextOffset - recordCount();
    }

    long nextOffset() {
        return nextOffset;
    }

    int recordCount() {
        return records.size() - firstIndex;
    }

    long appendCount() {
        return appendCount;
    }

    long appendedBytes() {
        return appendedBytes;
    }

    /** Removes records older than a time, and the oldest records beyond {@code count}. */
    void retain(long oldestTimeMs, int count) {
        while (recordCount() > 0 && (records.get(firstIndex).timeMs() < oldestTimeMs || recordCount() > count)) {
            removeFirst();
        }
    }

    /** Removes records before an offset. */
    void expireBefore(long offset) {
        while (recordCount() > 0 && records.get(firstIndex).offset() < offset) {
            removeFirst();
        }
    }

    private void removeFirst() {
        records.set(firstIndex++, null);
        if (firstIndex > 1024 && firstIndex > records.size() / 2) {
            records.subList(0, firstIndex).clear();
            firstIndex = 0;
        }
    }

    /** Returns records from an offset on: at least one if there is one, then as many as fit in {@code maxBytes}. */
    List<StoredRecord> read(long from, int maxBytes) {
        List<StoredRecord> result = new ArrayList<>();
        long size = 0;
        for (long index = firstIndex + Math.max(0, from - firstOffset()); index < records.size(); index++) {
            StoredRecord record = records.get((int) index);
            size += record.data().length;
            if (!result.isEmpty() && size > maxBytes) {
                return result;
            }
            result.add(record);
        }
        return result;
    }
}
