package dev.lavenderline.node.jobs;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.ledger.BatchFile;
import dev.lavenderline.core.ledger.ChunkLocation;
import dev.lavenderline.core.ledger.Job;
import dev.lavenderline.core.ledger.WorkLedger;
import dev.lavenderline.log.LogRecord;
import dev.lavenderline.log.LogService;
import dev.lavenderline.node.log.LoggedStream;
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
 * Appends file chunks and results again before the log drops them.
 *
 * <p>A body is appended again when its record is older than half the retention time, by the holder of its job, or by the
 * first live node in rendezvous order if that holder is gone or the file has no open job. Two nodes that do it at once
 * only waste an append, because a republished record changes no more than a location. Not thread-safe; confined to the
 * node's event loop.
 */
final class Republisher {
    /** Results of one check; bounds the burst of appends after a long pause. */
    private static final int RECORDS_PER_CHECK = 32;

    private final LoggedStream<WorkLedger> work;
    private final LogService log;
    private final JobContent content;
    private final String holder;
    private final Predicate<String> isLive;
    private final ToIntFunction<String> rank;
    private final Duration maxAge;
    private final Duration logTimeout;
    private final Ticker ticker;
    /** Log time of result records by offset, so that each is asked for once. */
    private final Map<Long, Instant> times = new HashMap<>();

    private boolean busy;
    private long republished;

    /**
     * Creates a republisher.
     *
     * @param retention how long the log keeps a record
     */
    Republisher(
            LoggedStream<WorkLedger> work,
            LogService log,
            JobContent content,
            String holder,
            Predicate<String> isLive,
            ToIntFunction<String> rank,
            Duration retention,
            Duration logTimeout,
            Ticker ticker) {
        this.work = work;
        this.log = log;
        this.content = content;
        this.holder = holder;
        this.isLive = isLive;
        this.rank = rank;
        this.maxAge = retention.dividedBy(2);
        this.logTimeout = logTimeout;
        this.ticker = ticker;
    }

    /** Appends again what is due; call at least 16 times within the retention time. */
    void check() {
        if (busy) {
            return;
        }
        busy = true;
        Set<Long> seen = new HashSet<>();
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
                chain = chain.chain(() -> republishResults(job, seen));
            }
        }
        chain.subscribe()
                .with(
                        done -> {
                            busy = false;
                            times.keySet().retainAll(seen);
                        },
                        failure -> {
                            busy = false;
                            throw new IllegalStateException("republication failed", failure);
                        });
    }

    /** Returns the number of entries appended again so far. */
    long republished() {
        return republished;
    }

    private boolean isDue(Instant time) {
        return Duration.between(time, ticker.now()).compareTo(maxAge) > 0;
    }

    private boolean isResponsible(Job job) {
        boolean holderIsLive = !job.holder().isEmpty() && isLive.test(job.holder());
        return holderIsLive ? job.holder().equals(holder) : isResponsible(job.id());
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

    private Uni<Void> republishResults(Job job, Set<Long> seen) {
        TreeSet<Long> offsets = new TreeSet<>();
        for (int item = 0; item < job.items(); item++) {
            job.resultOffset(item).ifPresent(offsets::add);
        }
        seen.addAll(offsets);
        return republishFrom(job, offsets, RECORDS_PER_CHECK);
    }

    /** Goes through the offsets from the oldest one until a record is young enough. */
    private Uni<Void> republishFrom(Job job, TreeSet<Long> offsets, int left) {
        if (offsets.isEmpty() || left == 0) {
            return Uni.createFrom().voidItem();
        }
        long offset = offsets.first();
        Instant known = times.get(offset);
        if (known != null && !isDue(known)) {
            return Uni.createFrom().voidItem();
        }
        return read(offset).chain(records -> {
            if (records.isEmpty()) {
                return Uni.createFrom().voidItem();
            }
            LogRecord record = records.get(0);
            times.put(offset, record.time());
            if (!isDue(record.time())) {
                return Uni.createFrom().voidItem();
            }
            offsets.pollFirst();
            return appendResults(job, record).chain(() -> republishFrom(job, offsets, left - 1));
        });
    }

    private Uni<List<LogRecord>> read(long offset) {
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
            throw new IllegalStateException("the result record at offset " + record.offset() + " was folded before", e);
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
