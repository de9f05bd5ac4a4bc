package dev.lavenderline.serving.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.proto.jobs.PayloadRef;
import dev.lavenderline.serving.DeployedStack;
import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.store.KeyedPage;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.store.LogSlice;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.Partition;
import dev.lavenderline.serving.store.StoreException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against payloads that can't be read any more once the store has forgotten its history. */
class PayloadPagesTest {
    /** Far more than any stack bears if the reads complete one inside the other. */
    private static final int PAYLOADS = 50_000;

    /** Number of items of a batch job at most. */
    private static final int ITEMS = 200;

    private final PagedStore store = new PagedStore();
    private final PayloadStore payloads = new PayloadStore(store, new ManualTime(), EventLog.NONE, 1, 262_144, () -> 0);

    /** A store without history, whose pages of newest records are answered later. */
    private static final class PagedStore implements MetadataStore {
        final Deque<Promise<KeyedPage>> pages = new ArrayDeque<>();

        @Override
        public Future<LogSlice> read(Partition partition, long from, Duration wait) {
            return readAt(partition, from, 0);
        }

        @Override
        public Future<LogSlice> readAt(Partition partition, long offset, int bytes) {
            return Future.failedFuture(new StoreException(StoreException.Reason.EXPIRED, "no history"));
        }

        @Override
        public Future<KeyedPage> newest(Partition partition, String after) {
            Promise<KeyedPage> page = Promise.promise();
            pages.add(page);
            return page.future();
        }

        @Override
        public Future<Long> append(Partition partition, long expectedEnd, List<KeyedRecord> records) {
            return Future.failedFuture("not used");
        }

        @Override
        public void renewConnections() {}
    }

    private static KeyedRecord payload(int number) {
        return new KeyedRecord(number + "/" + HexFormat.of().toHexDigits(0L), new byte[] {(byte) number});
    }

    private List<Future<byte[]>> readAll(int count) {
        List<Future<byte[]>> reads = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            reads.add(payloads.read(Integer.toString(i), PayloadRef.getDefaultInstance()));
        }
        return reads;
    }

    private static KeyedPage page(int from, int to) {
        List<KeyedRecord> records = new ArrayList<>();
        for (int i = from; i < to; i++) {
            records.add(payload(i));
        }
        return new KeyedPage(records, to, false);
    }

    @Test
    void onePageCompletesManyReads() {
        List<Future<byte[]>> reads = readAll(PAYLOADS);
        assertEquals(1, store.pages.size());
        store.pages.poll().complete(page(0, PAYLOADS));
        assertTrue(reads.stream().allMatch(Future::succeeded));
        assertEquals(0, store.pages.size());
    }

    /** Guards against a batch job of the largest size whose results can't be read once the history is forgotten. */
    @Test
    void resultsOfALargeJobAreReadOnTheStackOfTheProgram() throws Exception {
        List<Future<byte[]>> reads = new ArrayList<>();
        DeployedStack.run(() -> {
            reads.addAll(readAll(ITEMS));
            while (!store.pages.isEmpty()) {
                store.pages.poll().complete(page(0, ITEMS));
            }
        });
        assertEquals(ITEMS, reads.stream().filter(Future::succeeded).count());
    }

    @Test
    void readsGoOnAfterPagesWithoutTheWantedPayload() {
        List<Future<byte[]>> reads = readAll(4);
        store.pages.poll().complete(page(0, 1));
        assertTrue(reads.get(0).succeeded());
        store.pages.poll().complete(page(2, 3));
        assertTrue(reads.get(1).failed(), "missing in its page");
        assertTrue(reads.get(2).succeeded(), "in the page of another one");
        store.pages.poll().fail("no response");
        assertTrue(reads.get(3).failed());
        Future<byte[]> again = payloads.read("3", PayloadRef.getDefaultInstance());
        store.pages.poll().complete(page(3, 4));
        assertTrue(again.succeeded());
        assertEquals(0, store.pages.size());
    }
}
