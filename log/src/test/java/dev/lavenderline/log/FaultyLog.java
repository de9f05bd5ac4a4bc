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

/** One stream of a log in memory with injected faults; deterministic for a seed. */
final class FaultyLog implements LogService {
    static final Duration TIMEOUT = Duration.ofSeconds(1);

    private record Waiter(long from, int maxBytes, Promise<Either<LogError, LogSlice>> answer) {}

    private final ManualClock clock;
    private final UniformRandomProvider random;
    private final List<LogRecord> records = new ArrayList<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private final List<Instant> appendTimes = new ArrayList<>();
    private long first = 1;
    private boolean outage;
    private int lostAnswers;
    private int lateCopies;
    private int reads;
    private double lostAnswerShare;
    private double lateCopyShare;

    FaultyLog(ManualClock clock, long seed) {
        this.clock = clock;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** The next appends take effect, but their answers are lost. */
    void loseAnswers(int count) {
        lostAnswers = count;
    }

    /** The next appends get no answer and take effect only after the writer has sent them again. */
    void delayCopies(int count) {
        lateCopies = count;
    }

    /** Shares of appends whose answer is lost or which take effect late, chosen by the seed. */
    void faultShares(double lostAnswer, double lateCopy) {
        lostAnswerShare = lostAnswer;
        lateCopyShare = lateCopy;
    }

    void outage(boolean on) {
        outage = on;
    }

    void expireBefore(long offset) {
        first = Math.max(first, Math.min(offset, next()));
    }

    long first() {
        return first;
    }

    long next() {
        return records.size() + 1;
    }

    /** Returns the times of all appends that reached the log, also those that it refused. */
    List<Instant> appendTimes() {
        return appendTimes;
    }

    Instant time(long offset) {
        return records.get((int) offset - 1).time();
    }

    int size(long offset) {
        return records.get((int) offset - 1).data().length;
    }

    /** Returns the offset that a snapshot covers if the record at an offset completes one, 0 otherwise. */
    long coveredBy(long offset, SnapshotAssembler assembler) {
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

    /** Stores a record as another writer would. */
    long store(byte[] data) {
        records.add(new LogRecord(next(), clock.now(), data));
        List<Waiter> woken = List.copyOf(waiters);
        waiters.clear();
        woken.forEach(waiter -> answer(waiter.answer(), slice(waiter.from(), waiter.maxBytes())));
        return next() - 1;
    }

    @Override
    public Uni<Either<LogError, Long>> append(String stream, byte[] data) {
        return Futures.toUni(() -> {
            Promise<Either<LogError, Long>> answer = Promise.promise();
            clock.after(latency(), () -> appended(data, answer));
            return answer.future();
        });
    }

    private void appended(byte[] data, Promise<Either<LogError, Long>> answer) {
        appendTimes.add(clock.now());
        if (outage) {
            answer(answer, Either.left(new LogError.Unavailable("outage")));
            return;
        }
        double chance = random.nextDouble();
        if (lateCopies > 0 || chance < lateCopyShare) {
            lateCopies = Math.max(0, lateCopies - 1);
            clock.after(TIMEOUT, () -> answer.complete(Either.left(new LogError.TimedOut("late"))));
            clock.after(TIMEOUT.multipliedBy(3), () -> store(data));
            return;
        }
        long offset = store(data);
        if (lostAnswers > 0 || chance < lateCopyShare + lostAnswerShare) {
            lostAnswers = Math.max(0, lostAnswers - 1);
            clock.after(TIMEOUT, () -> answer.complete(Either.left(new LogError.TimedOut("lost"))));
            return;
        }
        answer(answer, Either.right(offset));
    }

    @Override
    public Uni<Either<LogError, LogSlice>> read(String stream, long from, int maxBytes, Duration wait) {
        return Futures.toUni(() -> {
            reads++;
            Promise<Either<LogError, LogSlice>> answer = Promise.promise();
            clock.after(latency(), () -> {
                if (wait.isZero() || from < next() || outage) {
                    answer(answer, slice(from, maxBytes));
                    return;
                }
                Waiter waiter = new Waiter(from, maxBytes, answer);
                waiters.add(waiter);
                clock.after(wait, () -> {
                    if (waiters.remove(waiter)) {
                        answer(answer, slice(from, maxBytes));
                    }
                });
            });
            return answer.future();
        });
    }

    private Either<LogError, LogSlice> slice(long from, int maxBytes) {
        if (outage) {
            return Either.left(new LogError.Unavailable("outage"));
        }
        if (from < first) {
            return Either.left(new LogError.Expired(first));
        }
        List<LogRecord> found = new ArrayList<>();
        long bytes = 0;
        for (long offset = from; offset < next(); offset++) {
            LogRecord record = records.get((int) offset - 1);
            bytes += record.data().length;
            if (!found.isEmpty() && bytes > maxBytes) {
                break;
            }
            found.add(record);
        }
        return Either.right(new LogSlice(first, next(), found));
    }

    private <T> void answer(Promise<T> promise, T value) {
        clock.after(latency(), () -> promise.complete(value));
    }

    private Duration latency() {
        return Duration.ofMillis(1 + random.nextInt(3));
    }
}
