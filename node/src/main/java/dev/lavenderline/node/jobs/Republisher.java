package dev.lavenderline.node.jobs;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.ledger.BatchFile;
import dev.lavenderline.core.ledger.ChunkLocation;
import dev.lavenderline.core.ledger.Job;
import dev.lavenderline.core.ledger.WorkLedger;
import dev.lavenderline.log.LogRecord;
import dev.lavenderline.log.LogService;
import dev.lavenderline.node.log.LogStream;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.FileChunk;
import dev.lavenderline.proto.log.ItemResult;
import dev.lavenderline.proto.log.ItemsCompleted;
import dev.lavenderline.proto.log.RecordBatch;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Appends file chunks and results to the log again before their retention time ends.
 *
 * <p>Data is republished when its record is older than half the retention time: results by the live holder of their
 * job, all else by the first live node in rendezvous order. If two nodes republish the same data, they only waste an
 * append, because a republished record changes nothing but the location. Not thread-safe; confined to the node's event
 * loop.
 */
final class Republisher {
    /** Largest number of result records per job and check; bounds the burst of appends after a long pause. */
    private static final int MAX_RECORDS_PER_JOB = 32;

    private final LogStream<WorkLedger> work;
    private final LogService log;
    private final JobContent content;
    private final String incarnation;
    private final Predicate<String> isLive;
    private final ToIntFunction<String> rank;
    private final Duration maxAge;
    private final Duration logTimeout;
    private final Ticker ticker;
    /** Log times of result records by offset, so that a record that is not yet due is read only once. */
    private final Map<Long, Instant> recordTimes = new HashMap<>();

    private boolean isChecking;
    private long republished;

    /**
     * Creates a republisher.
     *
     * @param incarnation incarnation of this node
     * @param isLive whether an incarnation is live
     * @param rank position of this node in the rendezvous order of the live nodes for a key, 0 for the first
     * @param retention how long the log keeps a record
     */
    Republisher(
            LogStream<WorkLedger> work,
            LogService log,
            JobContent content,
            String incarnation,
            Predicate<String> isLive,
            ToIntFunction<String> rank,
            Duration retention,
            Duration logTimeout,
            Ticker ticker) {
        this.work = work;
        this.log = log;
        this.content = content;
        this.incarnation = incarnation;
        this.isLive = isLive;
        this.rank = rank;
        this.maxAge = retention.dividedBy(2);
        this.logTimeout = logTimeout;
        this.ticker = ticker;
    }

    /** Republishes the data that is due; call at least 16 times within the retention time. */
    void check() {
        if (isChecking) {
            return;
        }
        isChecking = true;
        Set<Long> currentOffsets = new HashSet<>();
        Uni<Void> chain = Uni.createFrom().voidItem();
        for (BatchFile file : work.ledger().files()) {
            for (ChunkLocation location : file.chunks()) {
                if (isDue(location.time()) && isResponsible(file.id())) {
                    chain = chain.chain(() -> republishChunk(location));
                }
            }
        }
        for (Job job : work.ledger().allJobs()) {
            if (isResponsible(job)) {
                chain = chain.chain(() -> republishResults(job, currentOffsets));
            }
        }
        chain.subscribe()
                .with(
                        done -> {
                            isChecking = false;
                            recordTimes.keySet().retainAll(currentOffsets);
                        },
                        failure -> {
                            isChecking = false;
                            throw new IllegalStateException("cannot republish file chunks and results", failure);
                        });
    }

    /** Returns the number of entries republished so far. */
    long republished() {
        return republished;
    }

    private boolean isDue(Instant time) {
        return Duration.between(time, ticker.now()).compareTo(maxAge) > 0;
    }

    private boolean isResponsible(Job job) {
        boolean holderIsLive = !job.holder().isEmpty() && isLive.test(job.holder());
        return holderIsLive ? job.holder().equals(incarnation) : isResponsible(job.id());
    }

    private boolean isResponsible(String key) {
        return rank.applyAsInt(key) == 0;
    }

    private Uni<Void> republishChunk(ChunkLocation location) {
        return content.chunk(location).chain(chunk -> {
            if (chunk.isLeft()) {
                return Uni.createFrom().voidItem();
            }
            FileChunk copy = chunk.get();
            return append(Entry.newBuilder().setFileChunk(copy).build());
        });
    }

    private Uni<Void> republishResults(Job job, Set<Long> currentOffsets) {
        TreeSet<Long> offsets = new TreeSet<>();
        for (int item = 0; item < job.items(); item++) {
            job.resultOffset(item).ifPresent(offsets::add);
        }
        currentOffsets.addAll(offsets);
        return republishFrom(job, offsets, MAX_RECORDS_PER_JOB);
    }

    /** Republishes records from the oldest offset on, up to the limit or the first one that is not due. */
    private Uni<Void> republishFrom(Job job, TreeSet<Long> offsets, int limit) {
        if (offsets.isEmpty() || limit == 0) {
            return Uni.createFrom().voidItem();
        }
        long offset = offsets.first();
        Instant recordTime = recordTimes.get(offset);
        if (recordTime != null && !isDue(recordTime)) {
            return Uni.createFrom().voidItem();
        }
        return readRecord(offset).chain(records -> {
            if (records.isEmpty()) {
                return Uni.createFrom().voidItem();
            }
            LogRecord record = records.get(0);
            recordTimes.put(offset, record.time());
            if (!isDue(record.time())) {
                return Uni.createFrom().voidItem();
            }
            offsets.pollFirst();
            return appendResults(job, record).chain(() -> republishFrom(job, offsets, limit - 1));
        });
    }

    private Uni<List<LogRecord>> readRecord(long offset) {
        return log.read(work.writer().stream(), offset, 1, Duration.ZERO)
                .map(slice -> slice.fold(
                        error -> List.<LogRecord>of(),
                        found -> found.records().stream()
                                .filter(record -> record.offset() == offset)
                                .toList()));
    }

    private Uni<Void> appendResults(Job job, LogRecord record) {
        RecordBatch batch;
        try {
            batch = RecordBatch.parseFrom(record.data());
        } catch (com.google.protobuf.InvalidProtocolBufferException e) {
            throw new IllegalStateException(
                    "cannot parse the result record at offset " + record.offset() + ", which was applied before", e);
        }
        List<ItemResult> results = JobContent.resultsAt(job, record.offset(), batch);
        if (results.isEmpty()) {
            return Uni.createFrom().voidItem();
        }
        return append(Entry.newBuilder()
                .setItemsCompleted(ItemsCompleted.newBuilder()
                        .setJobId(job.id())
                        .setClaim(job.claim())
                        .addAllResults(results)
                        .setRepublished(true))
                .build());
    }

    private Uni<Void> append(Entry entry) {
        return work.append(entry, logTimeout).map(result -> {
            if (result.isRight()) {
                republished++;
            }
            return null;
        });
    }
}
