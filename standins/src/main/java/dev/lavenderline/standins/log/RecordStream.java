package dev.lavenderline.standins.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Records of one stream in memory. Not thread-safe; confined to the stand-in's event loop. */
final class RecordStream {
    /** One record. */
    @SuppressWarnings("ArrayRecordComponent")
    record Stored(long offset, long timeMs, byte[] data) {}

    /** Readers that wait for the next record. */
    final ArrayDeque<Runnable> waiters = new ArrayDeque<>();

    private final ArrayList<Stored> records = new ArrayList<>();
    /** Index of the first record kept; the list is compacted when expired records make up half of it. */
    private int head;

    private long next = 1;
    private long appends;
    private long bytes;

    long append(long timeMs, byte[] data) {
        long offset = next++;
        records.add(new Stored(offset, timeMs, data));
        appends++;
        bytes += data.length;
        return offset;
    }

    long first() {
        return next - kept();
    }

    long next() {
        return next;
    }

    int kept() {
        return records.size() - head;
    }

    long appends() {
        return appends;
    }

    long bytes() {
        return bytes;
    }

    /** Removes records older than a time and all but the newest {@code count}. */
    void retain(long oldestTimeMs, int count) {
        while (kept() > 0 && (records.get(head).timeMs() < oldestTimeMs || kept() > count)) {
            removeFirst();
        }
    }

    /** Removes records before an offset. */
    void expireBefore(long offset) {
        while (kept() > 0 && records.get(head).offset() < offset) {
            removeFirst();
        }
    }

    private void removeFirst() {
        records.set(head++, null);
        if (head > 1024 && head > records.size() / 2) {
            records.subList(0, head).clear();
            head = 0;
        }
    }

    /** Returns records from an offset, at least one if there is one, then as many as fit. */
    List<Stored> read(long from, int maxBytes) {
        List<Stored> found = new ArrayList<>();
        long size = 0;
        for (long index = head + Math.max(0, from - first()); index < records.size(); index++) {
            Stored stored = records.get((int) index);
            size += stored.data().length;
            if (!found.isEmpty() && size > maxBytes) {
                return found;
            }
            found.add(stored);
        }
        return found;
    }
}
