package dev.lavenderline.serving.jobs;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.hash.Hashing;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.proto.jobs.PayloadRef;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.store.KeyedPage;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.Partition;
import dev.lavenderline.serving.store.StoreException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Reads and writes the contents of batch jobs: items and outputs. Every node reads the whole job topic, which only
 * refers to the contents; a content is read by the nodes that need it.
 *
 * <p>Invariants: a payload is written before the record that refers to it, under a key of its own, and never changes.
 * Not thread-safe; confined to the event loop.
 */
final class PayloadStore {
    static final String TOPIC = "payloads";

    private static final Duration RETRY_DELAY = Duration.ofMillis(150);

    /** Total size of the payloads kept in memory. */
    private static final int CACHE_BYTES = 4_000_000;

    private final MetadataStore store;
    private final Ticker ticker;
    private final Timers timers;
    private final EventLog log;
    private final int partitions;
    private final LongSupplier nonces;
    private final Cache<String, byte[]> cache = CacheBuilder.newBuilder()
            .concurrencyLevel(1)
            .maximumWeight(CACHE_BYTES)
            .weigher((String key, byte[] content) -> content.length)
            .build();
    private final Map<String, Future<byte[]>> reads = new HashMap<>();
    private int pendingWrites;

    /**
     * Creates a payload store.
     *
     * @param partitions number of partitions of the payload topic
     * @param nonces numbers that no other node or process draws
     */
    PayloadStore(MetadataStore store, Ticker ticker, Timers timers, EventLog log, int partitions, LongSupplier nonces) {
        this.store = store;
        this.ticker = ticker;
        this.timers = timers;
        this.log = log;
        this.partitions = partitions;
        this.nonces = nonces;
    }

    /** Returns the number of writes that the store has not confirmed. */
    int pendingWrites() {
        return pendingWrites;
    }

    private static String key(String name, long nonce) {
        return name + "/" + HexFormat.of().toHexDigits(nonce);
    }

    /** Payloads of a job share a partition, so that they can be listed and deleted together. */
    private int partition(String job) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(job, StandardCharsets.UTF_8)
                .asInt();
        return Math.floorMod(hash, partitions);
    }

    /**
     * Writes a payload.
     *
     * @param name key of the record that will refer to it
     * @param limit time after which the result fails with a {@link StoreException}
     */
    Future<PayloadRef> write(String job, String name, byte[] content, Duration limit) {
        Write write = new Write(
                new Partition(TOPIC, partition(job)),
                name,
                nonces.getAsLong(),
                content,
                ticker.nanos() + limit.toNanos());
        pendingWrites++;
        timers.after(limit, () -> write.fail("not appended within " + limit));
        write.append();
        return write.promise.future().onComplete(done -> pendingWrites--);
    }

    /** A payload that is appended until the store confirms it; repeated appends have the same key. */
    private final class Write {
        final Partition partition;
        final String name;
        final long nonce;
        final byte[] content;
        final long deadlineNanos;
        final Promise<PayloadRef> promise = Promise.promise();

        Write(Partition partition, String name, long nonce, byte[] content, long deadlineNanos) {
            this.partition = partition;
            this.name = name;
            this.nonce = nonce;
            this.content = content;
            this.deadlineNanos = deadlineNanos;
        }

        void append() {
            if (promise.future().isComplete()) {
                return;
            }
            store.append(partition, MetadataStore.ANY_END, List.of(new KeyedRecord(key(name, nonce), content)))
                    .onSuccess(this::appended)
                    .onFailure(failure -> {
                        if (ticker.nanos() + RETRY_DELAY.toNanos() - deadlineNanos > 0) {
                            fail(failure.getMessage());
                        } else {
                            timers.after(RETRY_DELAY, this::append);
                        }
                    });
        }

        private void appended(long offset) {
            cache.put(key(name, nonce), content);
            promise.tryComplete(PayloadRef.newBuilder()
                    .setPartition(partition.number())
                    .setOffset(offset)
                    .setBytes(content.length)
                    .setNonce(nonce)
                    .build());
        }

        void fail(String message) {
            if (promise.tryFail(new StoreException(StoreException.Reason.UNKNOWN, message))) {
                log.event(ServingEvent.PAYLOAD_NOT_WRITTEN, "key", key(name, nonce), "message", message);
            }
        }
    }

    /**
     * Reads a payload.
     *
     * @param name key of the record that refers to it
     * @return a future that fails with a {@link StoreException} if the store does not return it
     */
    Future<byte[]> read(String name, PayloadRef ref) {
        String key = key(name, ref.getNonce());
        byte[] cached = cache.getIfPresent(key);
        if (cached != null) {
            return Future.succeededFuture(cached);
        }
        Future<byte[]> current = reads.get(key);
        if (current != null) {
            return current;
        }
        Partition partition = new Partition(TOPIC, ref.getPartition());
        Future<byte[]> read = store.readAt(partition, ref.getOffset(), ref.getBytes())
                .map(slice -> find(slice.records(), key))
                .recover(failure -> StoreException.reasonOf(failure) == StoreException.Reason.EXPIRED
                        ? Future.succeededFuture(Optional.empty())
                        : Future.failedFuture(failure))
                // The log forgets records, the list of newest records does not.
                .compose(found -> found.isPresent() ? Future.succeededFuture(found.get()) : readNewest(partition, key));
        reads.put(key, read);
        return read.onSuccess(content -> cache.put(key, content))
                .onFailure(failure ->
                        log.event(ServingEvent.PAYLOAD_UNREADABLE, "key", key, "message", failure.getMessage()))
                .onComplete(done -> reads.remove(key, read));
    }

    private Future<byte[]> readNewest(Partition partition, String key) {
        // A page starts after a given key; this one precedes the wanted key, with hardly any other in between.
        String predecessor = key.substring(0, key.length() - 1);
        return store.newest(partition, predecessor).compose(page -> {
            keepAll(page);
            return find(page.records(), key)
                    .map(Future::succeededFuture)
                    .orElseGet(() -> Future.failedFuture(
                            new StoreException(StoreException.Reason.MALFORMED, key + " is missing in " + partition)));
        });
    }

    private void keepAll(KeyedPage page) {
        page.records().forEach(record -> cache.put(record.key(), record.value()));
    }

    private static Optional<byte[]> find(List<KeyedRecord> records, String key) {
        return records.stream()
                .filter(record -> record.key().equals(key) && !record.deletion())
                .map(KeyedRecord::value)
                .findFirst();
    }

    /** A payload to delete. */
    record Entry(String name, PayloadRef ref) {}

    /** Deletes payloads of one job; one that stays because the store does not answer takes space, but does no harm. */
    void delete(List<Entry> entries) {
        if (entries.isEmpty()) {
            return;
        }
        Partition partition = new Partition(TOPIC, entries.get(0).ref().getPartition());
        List<KeyedRecord> deletions = entries.stream()
                .map(entry -> new KeyedRecord(key(entry.name(), entry.ref().getNonce()), new byte[0]))
                .toList();
        store.append(partition, MetadataStore.ANY_END, deletions)
                .onFailure(failure -> log.event(
                        ServingEvent.PAYLOAD_NOT_DELETED,
                        "partition",
                        partition,
                        "payloads",
                        deletions.size(),
                        "message",
                        failure.getMessage()));
    }
}
