package dev.lavenderline.serving.jobs;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Bytes;
import dev.lavenderline.core.Timers;
import dev.lavenderline.proto.jobs.PayloadRef;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.store.KeyedPage;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.Partition;
import dev.lavenderline.serving.store.StoreException;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * Reads and writes the contents of batch jobs: items and outputs. Every node reads the whole job topic, which only
 * refers to the contents; a content is read by the nodes that need it.
 *
 * <p>Invariants: a payload is written before the record that refers to it, under a key of its own, and never changes.
 * One above the size of a record is split into chunks, which are appended together, in order, each under a key of its
 * own. Not thread-safe; confined to the event loop.
 */
final class PayloadStore {
    /** Number of payload topics: a page of newest records, up to 1 MB, is to hold the payloads of few jobs. */
    static final int TOPICS = 64;

    /** Appends in progress; the others wait, so that they leave connections to other calls of the store. */
    private static final int MAX_APPENDS = 8;

    private static final Duration RETRY_DELAY = Duration.ofMillis(150);

    /** What follows the job in the key of a payload or chunk. */
    private static final Pattern NUMBER_AND_NONCE = Pattern.compile("\\d+/[0-9a-f]{16}(/\\d{4})?");

    /** Bytes of a record besides its value: the length of its key, and the key. */
    private static final int RECORD_OVERHEAD_BYTES = 1 + KeyedRecord.MAX_KEY_BYTES;

    /** Total size of the payloads kept in memory. */
    private static final int CACHE_BYTES = 4_000_000;

    private final MetadataStore store;
    private final Timers timers;
    private final EventLog log;
    private final int partitions;
    private final int chunkBytes;
    private final LongSupplier nonces;
    private final Cache<String, byte[]> cache = CacheBuilder.newBuilder()
            .concurrencyLevel(1)
            .maximumWeight(CACHE_BYTES)
            .weigher((String key, byte[] content) -> content.length)
            .build();
    private final Map<String, Future<byte[]>> reads = new HashMap<>();

    /** Reads that wait for a page, by their partition; the first one of each determines the page being read. */
    private final Map<Partition, Deque<PageRead>> pageReads = new HashMap<>();

    private final Deque<Write> waitingWrites = new ArrayDeque<>();
    private int appending;
    private int pendingWrites;

    /** Why the last append failed; empty if it succeeded. */
    private Optional<String> lastFailure = Optional.empty();

    /**
     * Creates a payload store.
     *
     * @param partitions number of partitions of each payload topic
     * @param maxRecordBytes size limit of a record; must be the same on all nodes
     * @param nonces numbers that no other node or process draws
     */
    PayloadStore(
            MetadataStore store, Timers timers, EventLog log, int partitions, int maxRecordBytes, LongSupplier nonces) {
        this.store = store;
        this.timers = timers;
        this.log = log;
        this.partitions = partitions;
        this.chunkBytes = maxRecordBytes - RECORD_OVERHEAD_BYTES;
        this.nonces = nonces;
    }

    /** Returns the number of writes that the store has not confirmed. */
    int pendingWrites() {
        return pendingWrites;
    }

    /** Returns why the last append failed; empty if it succeeded. */
    Optional<String> lastFailure() {
        return lastFailure;
    }

    private static String key(String name, long nonce) {
        return name + "/" + HexFormat.of().toHexDigits(nonce);
    }

    /** Returns the keys of the records of a payload: its own, or those of its chunks in order. */
    private List<String> recordKeys(String key, int bytes) {
        if (bytes <= chunkBytes) {
            return List.of(key);
        }
        int chunks = (bytes + chunkBytes - 1) / chunkBytes;
        return IntStream.range(0, chunks)
                .mapToObj(chunk -> String.format("%s/%04d", key, chunk))
                .toList();
    }

    private List<KeyedRecord> records(String key, byte[] content) {
        List<String> keys = recordKeys(key, content.length);
        if (keys.size() == 1) {
            return List.of(new KeyedRecord(key, content));
        }
        List<KeyedRecord> chunks = new ArrayList<>();
        for (int i = 0; i < keys.size(); i++) {
            int end = Math.min(content.length, (i + 1) * chunkBytes);
            chunks.add(new KeyedRecord(keys.get(i), Arrays.copyOfRange(content, i * chunkBytes, end)));
        }
        return chunks;
    }

    /** Returns the number of the partition, counted over all payload topics, that holds the payloads of a job. */
    private int partitionNumber(String job) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(job, StandardCharsets.UTF_8)
                .asInt();
        return Math.floorMod(hash, TOPICS * partitions);
    }

    private Partition partition(int number) {
        return new Partition("payloads-" + number / partitions, number % partitions);
    }

    /**
     * Writes a payload.
     *
     * @param name key of the record that will refer to it
     * @param limit time after which the result fails with a {@link StoreException}
     */
    Future<PayloadRef> write(String job, String name, byte[] content, Duration limit) {
        Write write = new Write(partitionNumber(job), name, nonces.getAsLong(), content);
        pendingWrites++;
        Timers.Timer timeout = timers.after(limit, () -> write.fail("not appended within " + limit));
        waitingWrites.add(write);
        appendNext();
        return write.promise.future().onComplete(done -> {
            timeout.cancel();
            pendingWrites--;
        });
    }

    private void appendNext() {
        while (appending < MAX_APPENDS && !waitingWrites.isEmpty()) {
            Write write = waitingWrites.poll();
            if (!write.promise.future().isComplete()) {
                append(write);
            }
        }
    }

    private void append(Write write) {
        appending++;
        String key = key(write.name, write.nonce);
        store.append(partition(write.partition), MetadataStore.ANY_END, records(key, write.content))
                .onComplete(response -> {
                    lastFailure = Optional.ofNullable(response.cause()).map(Throwable::getMessage);
                    if (response.succeeded()) {
                        appending--;
                        cache.put(key, write.content);
                        if (!write.appended(response.result())) {
                            delete(partition(write.partition), recordKeys(key, write.content.length));
                        }
                        appendNext();
                        return;
                    }
                    // Holds its place during the delay, so that a store that fails fast gets no more calls.
                    timers.after(RETRY_DELAY, () -> {
                        appending--;
                        waitingWrites.addFirst(write);
                        appendNext();
                    });
                });
    }

    /** A payload that is appended until the store confirms it; repeated appends have the same key. */
    private final class Write {
        final int partition;
        final String name;
        final long nonce;
        final byte[] content;
        final Promise<PayloadRef> promise = Promise.promise();

        Write(int partition, String name, long nonce, byte[] content) {
            this.partition = partition;
            this.name = name;
            this.nonce = nonce;
            this.content = content;
        }

        /** Completes the write; returns false if its time limit has passed. */
        boolean appended(long offset) {
            return promise.tryComplete(PayloadRef.newBuilder()
                    .setPartition(partition)
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
        Partition partition = partition(ref.getPartition());
        List<String> keys = recordKeys(key, ref.getBytes());
        Future<byte[]> read = readRecords(partition, ref.getOffset(), ref.getBytes(), keys)
                .recover(failure -> StoreException.reasonOf(failure) == StoreException.Reason.EXPIRED
                        ? Future.succeededFuture(Optional.empty())
                        : Future.failedFuture(failure))
                // The log forgets records, the list of newest records does not.
                .compose(
                        found -> found.isPresent() ? Future.succeededFuture(found.get()) : readNewest(partition, keys));
        reads.put(key, read);
        return read.onSuccess(content -> cache.put(key, content))
                .onFailure(failure ->
                        log.event(ServingEvent.PAYLOAD_UNREADABLE, "key", key, "message", failure.getMessage()))
                .onComplete(done -> reads.remove(key, read));
    }

    /**
     * Reads the records of a payload from the log, as many at a time as the store returns; empty if they are not there.
     *
     * @param bytes size of the values that are left to read
     * @param keys keys of the records that are left to read
     */
    private Future<Optional<byte[]>> readRecords(Partition partition, long offset, int bytes, List<String> keys) {
        int overhead = keys.size() * RECORD_OVERHEAD_BYTES;
        return store.readAt(partition, offset, bytes + overhead).compose(slice -> {
            List<byte[]> values = new ArrayList<>();
            int read = 0;
            while (values.size() < keys.size()) {
                Optional<byte[]> value = find(slice.records(), keys.get(values.size()));
                if (value.isEmpty()) {
                    break;
                }
                values.add(value.get());
                read += value.get().length;
            }
            if (values.isEmpty()) {
                return Future.succeededFuture(Optional.empty());
            }
            byte[] content = Bytes.concat(values.toArray(byte[][]::new));
            if (values.size() == keys.size()) {
                return Future.succeededFuture(Optional.of(content));
            }
            List<String> left = keys.subList(values.size(), keys.size());
            return readRecords(partition, offset + values.size(), bytes - read, left)
                    .map(rest -> rest.map(following -> Bytes.concat(content, following)));
        });
    }

    private Future<byte[]> readNewest(Partition partition, List<String> keys) {
        List<Future<byte[]>> chunks =
                keys.stream().map(key -> readNewest(partition, key)).toList();
        return Future.all(chunks)
                .map(all -> Bytes.concat(chunks.stream().map(Future::result).toArray(byte[][]::new)));
    }

    /** A read of a payload that waits for a page of its partition. */
    private record PageRead(String key, Promise<byte[]> promise) {}

    /** Reads the page with a payload, one page of a partition at a time, as it may have the next payload as well. */
    private Future<byte[]> readNewest(Partition partition, String key) {
        PageRead read = new PageRead(key, Promise.promise());
        Deque<PageRead> waiting = pageReads.get(partition);
        if (waiting == null) {
            waiting = new ArrayDeque<>();
            pageReads.put(partition, waiting);
            waiting.add(read);
            readPage(partition, waiting);
        } else {
            waiting.add(read);
        }
        return read.promise.future();
    }

    /** Reads the page with the payload of the first waiting read. */
    private void readPage(Partition partition, Deque<PageRead> waiting) {
        PageRead first = waiting.element();
        // A page starts after a given key: the one without the last character precedes the wanted key.
        store.newest(partition, first.key.substring(0, first.key.length() - 1)).onComplete(response -> {
            waiting.remove();
            Map<String, byte[]> found = new HashMap<>();
            if (response.succeeded()) {
                for (KeyedRecord record : response.result().records()) {
                    cache.put(record.key(), record.value());
                    found.put(record.key(), record.value());
                }
            }
            // All reads that the page answers complete here, one after the other: a chain of futures that complete
            // one inside the other would need a stack as deep as the page has payloads.
            List<PageRead> answered = new ArrayList<>();
            waiting.removeIf(read -> found.containsKey(read.key) && answered.add(read));
            if (waiting.isEmpty()) {
                pageReads.remove(partition);
            } else {
                readPage(partition, waiting);
            }
            completeFirst(partition, first, response, found);
            answered.forEach(read -> read.promise.complete(found.get(read.key)));
        });
    }

    private static void completeFirst(
            Partition partition, PageRead first, AsyncResult<KeyedPage> response, Map<String, byte[]> found) {
        byte[] content = found.get(first.key);
        if (response.failed()) {
            first.promise.fail(response.cause());
        } else if (content == null) {
            first.promise.fail(
                    new StoreException(StoreException.Reason.MALFORMED, first.key + " is missing in " + partition));
        } else {
            first.promise.complete(content);
        }
    }

    private static Optional<byte[]> find(List<KeyedRecord> records, String key) {
        return records.stream()
                .filter(record -> record.key().equals(key) && !record.deletion())
                .map(KeyedRecord::value)
                .findFirst();
    }

    /** Deletes a payload; one that stays because the store does not answer takes space until its job is deleted. */
    void delete(String name, PayloadRef ref) {
        delete(partition(ref.getPartition()), recordKeys(key(name, ref.getNonce()), ref.getBytes()));
    }

    /** Deletes the payloads of a job, those to which no record refers included. */
    void deleteAll(String job) {
        deleteAfter(partition(partitionNumber(job)), job, "");
    }

    /** Returns whether a key is that of a payload of a job; ids may contain slashes, or be the number of an item. */
    static boolean ofJob(String key, String job) {
        return JobRecords.payloadPrefixes(job).stream()
                .anyMatch(prefix -> key.startsWith(prefix)
                        && NUMBER_AND_NONCE
                                .matcher(key.substring(prefix.length()))
                                .matches());
    }

    private void deleteAfter(Partition partition, String job, String after) {
        store.newest(partition, after)
                .onSuccess(page -> {
                    List<String> keys = page.records().stream()
                            .map(KeyedRecord::key)
                            .filter(key -> ofJob(key, job))
                            .toList();
                    delete(partition, keys);
                    if (page.hasMore() && !page.records().isEmpty()) {
                        deleteAfter(
                                partition,
                                job,
                                page.records().get(page.records().size() - 1).key());
                    }
                })
                .onFailure(failure -> logNotDeleted(partition, failure));
    }

    private void delete(Partition partition, List<String> keys) {
        if (keys.isEmpty()) {
            return;
        }
        cache.invalidateAll(keys);
        List<KeyedRecord> deletions =
                keys.stream().map(key -> new KeyedRecord(key, new byte[0])).toList();
        store.append(partition, MetadataStore.ANY_END, deletions)
                .onFailure(failure -> logNotDeleted(partition, failure));
    }

    private void logNotDeleted(Partition partition, Throwable failure) {
        log.event(ServingEvent.PAYLOAD_NOT_DELETED, "partition", partition, "message", failure.getMessage());
    }
}
