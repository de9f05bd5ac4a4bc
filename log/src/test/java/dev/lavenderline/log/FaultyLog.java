package dev.lavenderline.log;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.RecordBatch;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.core.Promise;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** In-memory log with one stream and injected faults; deterministic for a given seed. */
final class FaultyLog implements LogService {
    static final Duration TIMEOUT = Duration.ofSeconds(1);

    private record LongPoll(long from, int maxBytes, Promise<Either<LogError, LogSlice>> response) {}

    private final ManualClock clock;
    private final UniformRandomProvider random;
    private final List<LogRecord> records = new ArrayList<>();
    private final List<LongPoll> longPolls = new ArrayList<>();
    private final List<Instant> appendTimes = new ArrayList<>();
    private long firstOffset = 1;
    private boolean outage;
    private int lostResponses;
    private int delayedAppends;
    private int reads;
    private double lostResponseProbability;
    private double delayedAppendProbability;

    FaultyLog(ManualClock clock, long seed) {
        this.clock = clock;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Stores the next appends, but lets their requests time out. */
    void loseResponses(int count) {
        lostResponses = count;
    }

    /** Lets the next appends time out and stores them only later, after the writer has retried them. */
    void delayAppends(int count) {
        delayedAppends = count;
    }

    /** Sets the probabilities that the response to an append is lost, or that an append is delayed. */
    void setFaultProbabilities(double lostResponse, double delayedAppend) {
        lostResponseProbability = lostResponse;
        delayedAppendProbability = delayedAppend;
    }

    void setOutage(boolean on) {
        outage = on;
    }

    void expireBefore(long offset) {
        firstOffset = Math.max(firstOffset, Math.min(offset, nextOffset()));
    }

    long firstOffset() {
        return firstOffset;
    }

    long nextOffset() {
        return records.size() + 1;
    }

    /** Returns the times of all appends that reached the log, including refused ones. */
    List<Instant> appendTimes() {
        return appendTimes;
    }

    Instant time(long offset) {
        return records.get((int) offset - 1).time();
    }

    int size(long offset) {
        return records.get((int) offset - 1).data().length;
    }

    /** Returns the offset covered by the snapshot that the record at an offset completes; 0 if it completes none. */
    long snapshotCoverage(long offset, SnapshotAssembler assembler) {
        LogRecord record = records.get((int) offset - 1);
        try {
            return RecordBatch.parseFrom(record.data()).getEntriesList().stream()
                    .filter(Entry::hasSnapshotPart)
                    .flatMap(entry -> assembler.add(offset, record.time(), entry.getSnapshotPart()).stream())
                    .mapToLong(SnapshotAssembler.Complete::asOf)
                    .max()
                    .orElse(0);
        } catch (InvalidProtocolBufferException e) {
            return 0;
        }
    }

    int reads() {
        return reads;
    }

    /** Stores a record without a request, as if another writer had appended it. */
    long store(byte[] data) {
        records.add(new LogRecord(nextOffset(), clock.now(), data));
        List<LongPoll> completed = List.copyOf(longPolls);
        longPolls.clear();
        completed.forEach(poll -> respond(poll.response(), slice(poll.from(), poll.maxBytes())));
        return nextOffset() - 1;
    }

    @Override
    public Uni<Either<LogError, Long>> append(String stream, byte[] data) {
        return Futures.toUni(() -> {
            Promise<Either<LogError, Long>> response = Promise.promise();
            clock.after(latency(), () -> handleAppend(data, response));
            return response.future();
        });
    }

    private void handleAppend(byte[] data, Promise<Either<LogError, Long>> response) {
        appendTimes.add(clock.now());
        if (outage) {
            respond(response, Either.left(new LogError.Unavailable("outage")));
            return;
        }
        double chance = random.nextDouble();
        if (delayedAppends > 0 || chance < delayedAppendProbability) {
            delayedAppends = Math.max(0, delayedAppends - 1);
            clock.after(TIMEOUT, () -> response.complete(Either.left(new LogError.TimedOut("late"))));
            clock.after(TIMEOUT.multipliedBy(3), () -> store(data));
            return;
        }
        long offset = store(data);
        if (lostResponses > 0 || chance < delayedAppendProbability + lostResponseProbability) {
            lostResponses = Math.max(0, lostResponses - 1);
            clock.after(TIMEOUT, () -> response.complete(Either.left(new LogError.TimedOut("lost"))));
            return;
        }
        respond(response, Either.right(offset));
    }

    @Override
    public Uni<Either<LogError, LogSlice>> read(String stream, long from, int maxBytes, Duration wait) {
        return Futures.toUni(() -> {
            reads++;
            Promise<Either<LogError, LogSlice>> response = Promise.promise();
            clock.after(latency(), () -> {
                if (wait.isZero() || from < nextOffset() || outage) {
                    respond(response, slice(from, maxBytes));
                    return;
                }
                LongPoll poll = new LongPoll(from, maxBytes, response);
                longPolls.add(poll);
                clock.after(wait, () -> {
                    if (longPolls.remove(poll)) {
                        respond(response, slice(from, maxBytes));
                    }
                });
            });
            return response.future();
        });
    }

    private Either<LogError, LogSlice> slice(long from, int maxBytes) {
        if (outage) {
            return Either.left(new LogError.Unavailable("outage"));
        }
        if (from < firstOffset) {
            return Either.left(new LogError.Expired(firstOffset));
        }
        List<LogRecord> found = new ArrayList<>();
        long bytes = 0;
        for (long offset = from; offset < nextOffset(); offset++) {
            LogRecord record = records.get((int) offset - 1);
            bytes += record.data().length;
            if (!found.isEmpty() && bytes > maxBytes) {
                break;
            }
            found.add(record);
        }
        return Either.right(new LogSlice(firstOffset, nextOffset(), found));
    }

    private <T> void respond(Promise<T> promise, T value) {
        clock.after(latency(), () -> promise.complete(value));
    }

    private Duration latency() {
        return Duration.ofMillis(1 + random.nextInt(3));
    }
}
