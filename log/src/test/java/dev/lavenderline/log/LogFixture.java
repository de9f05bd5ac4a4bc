package dev.lavenderline.log;

import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Base class of tests with a simulated clock and log. */
abstract class LogFixture {
    final ManualClock clock = new ManualClock();
    final FaultyLog log = new FaultyLog(clock, 7401);

    LogFollower.Builder followerBuilder(RecordingLedger ledger) {
        return LogFollower.builder(log, clock, clock).stream("work").ledger(ledger);
    }

    LogWriter.Builder writerBuilder(String name) {
        return LogWriter.builder(log, clock, clock).stream("work").writer(name);
    }

    /** Returns the ledger of a new follower that has caught up. */
    RecordingLedger caughtUpLedger() {
        RecordingLedger ledger = new RecordingLedger();
        LogFollower follower = followerBuilder(ledger).start();
        until(follower::isCaughtUp);
        follower.stop();
        return ledger;
    }

    static Future<Either<LogError, Long>> write(LogWriter writer, String value) {
        return Futures.toFuture(writer.write(RecordingLedger.entry(value)));
    }

    /** Advances the clock until the condition holds; fails after 10 s. */
    void until(BooleanSupplier condition) {
        clock.advanceUntil(condition, Duration.ofSeconds(10));
    }

    <T> T await(Uni<T> uni) {
        Future<T> future = Futures.toFuture(uni);
        until(future::isComplete);
        return future.result();
    }
}
