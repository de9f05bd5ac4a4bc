package dev.lavenderline.serving.node;

import dev.lavenderline.serving.store.KeyedPage;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.store.LogSlice;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.Partition;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * The view of a store that a node on an event loop of its own has: calls and responses pass between the event loops, as
 * over a network. Thread-safe.
 */
final class RemoteStore implements MetadataStore {
    private final MetadataStore store;
    private final Context storeContext;
    private final AtomicInteger immediateReads = new AtomicInteger();
    private volatile boolean cutOff;
    private volatile boolean aloneInStore;

    /**
     * Creates a view.
     *
     * @param storeContext context to which the store is confined
     */
    RemoteStore(MetadataStore store, Context storeContext) {
        this.store = store;
        this.storeContext = storeContext;
    }

    /** Sets whether calls and responses are lost. */
    void cutOff(boolean value) {
        cutOff = value;
    }

    /** Hides the registrations of the other nodes, and that of this node from them. */
    void hideNodes() {
        aloneInStore = true;
    }

    /** Returns the number of reads of upstreams that did not wait for a record. */
    int immediateReads() {
        return immediateReads.get();
    }

    private <T> Future<T> call(Supplier<Future<T>> call) {
        Promise<T> promise = Promise.promise();
        Context caller = Vertx.currentContext();
        storeContext.runOnContext(arrived -> {
            if (!cutOff) {
                call.get().onComplete(response -> {
                    if (!cutOff) {
                        caller.runOnContext(received -> promise.handle(response));
                    }
                });
            }
        });
        return promise.future();
    }

    private boolean hidden(Partition partition) {
        return aloneInStore && partition.topic().equals("nodes");
    }

    @Override
    public Future<LogSlice> read(Partition partition, long from, Duration wait) {
        if (hidden(partition)) {
            return Promise.<LogSlice>promise().future();
        }
        if (wait.isZero() && partition.topic().equals("upstreams")) {
            immediateReads.incrementAndGet();
        }
        return call(() -> store.read(partition, from, wait)
                .map(slice -> new LogSlice(slice.firstOffset(), List.copyOf(slice.records()), slice.endOffset())));
    }

    @Override
    public Future<LogSlice> readAt(Partition partition, long offset, int bytes) {
        return call(() -> store.readAt(partition, offset, bytes));
    }

    @Override
    public Future<KeyedPage> newest(Partition partition, String after) {
        return hidden(partition)
                ? Future.succeededFuture(new KeyedPage(List.of(), 0, false))
                : call(() -> store.newest(partition, after));
    }

    @Override
    public Future<Long> append(Partition partition, long expectedEnd, List<KeyedRecord> records) {
        return hidden(partition)
                ? Future.succeededFuture(0L)
                : call(() -> store.append(partition, expectedEnd, records));
    }

    @Override
    public void renewConnections() {}
}
