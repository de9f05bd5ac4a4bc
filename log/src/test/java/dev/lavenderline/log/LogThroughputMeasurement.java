package dev.lavenderline.log;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.VertxTimers;
import dev.lavenderline.core.ledger.Ledger;
import dev.lavenderline.proto.log.RecordBatch;
import dev.lavenderline.standins.log.LogStandin;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Measures the throughput of follower and writer against a stand-in log in the same process. Not part of the build; run
 * {@code mvn -o test -pl platform -am -Dtest=LogThroughputMeasurement -Dsurefire.failIfNoSpecifiedTests=false}.
 */
class LogThroughputMeasurement extends StandinFixture {
    private static final int RECORDS = 50_000;
    private static final int ENTRIES_PER_RECORD = 10;

    private final Context loop = vertx.getOrCreateContext();

    private LogStandin.Builder standin() {
        return LogStandin.builder(vertx);
    }

    private LogService connect(int port) {
        return new HttpLogService(vertx, address(port), Duration.ofSeconds(5));
    }

    @Test
    void appliesRecords() throws Exception {
        int port = await(standin().build().start());
        String[] values = new String[ENTRIES_PER_RECORD];
        for (int i = 0; i < ENTRIES_PER_RECORD; i++) {
            values[i] = "item-" + i + "-" + "x".repeat(50);
        }
        LogService log = connect(port);
        for (int from = 1; from <= RECORDS; from += 25) {
            List<Future<?>> appends = new ArrayList<>();
            for (int i = from; i < from + 25; i++) {
                appends.add(Futures.toFuture(log.append("work", RecordingLedger.batch("n" + i, 1, values))));
            }
            await(Future.all(appends));
        }
        for (int run = 0; run < 4; run++) {
            Promise<Void> done = Promise.promise();
            long start = System.nanoTime();
            loop.runOnContext(ignored ->
                    LogFollower.builder(connect(port), new VertxTimers(vertx), Ticker.system()).stream("work")
                            .ledger(new CountingLedger())
                            .start()
                            .caughtUp()
                            .subscribe()
                            .with(caughtUp -> done.complete()));
            done.future().toCompletionStage().toCompletableFuture().get(5, TimeUnit.MINUTES);
            report("follower, run " + run, RECORDS, "records", System.nanoTime() - start);
        }
    }

    @Test
    void appendsBatches() throws Exception {
        for (long latencyMs : new long[] {0, 3}) {
            int port = await(standin()
                    .appendLatency(Duration.ofMillis(latencyMs))
                    .build()
                    .start());
            for (int outstanding : new int[] {1, 1_000}) {
                measureWriter(port, latencyMs, outstanding, "warm-up ");
                measureWriter(port, latencyMs, outstanding, "");
            }
        }
    }

    private void measureWriter(int port, long latencyMs, int outstanding, String kind) throws Exception {
        Promise<long[]> done = Promise.promise();
        loop.runOnContext(ignored -> {
            LogWriter writer = LogWriter.builder(connect(port), new VertxTimers(vertx), Ticker.system()).stream("work")
                    .writer("w" + System.nanoTime())
                    .linger(Duration.ZERO)
                    .build();
            long end = System.nanoTime() + Duration.ofSeconds(3).toNanos();
            long[] counts = new long[2];
            for (int i = 0; i < outstanding; i++) {
                writeUntil(end, writer, counts, done);
            }
        });
        long start = System.nanoTime();
        long[] counts = await(done.future());
        long nanos = System.nanoTime() - start;
        String name = kind + "writer, log latency " + latencyMs + " ms, " + outstanding + " entries outstanding";
        report(name, counts[0], "appends", nanos);
        report(name, counts[1], "entries", nanos);
    }

    private void writeUntil(long end, LogWriter writer, long[] counts, Promise<long[]> done) {
        writer.write(RecordingLedger.entry("x".repeat(200))).subscribe().with(outcome -> {
            counts[0] = writer.appends();
            counts[1]++;
            if (System.nanoTime() < end) {
                writeUntil(end, writer, counts, done);
            } else {
                done.tryComplete(counts);
            }
        });
    }

    private static void report(String name, long count, String unit, long nanos) {
        System.out.printf(Locale.ROOT, "%s: %.0f %s a second%n", name, count / (nanos * 1e-9), unit);
    }

    private static final class CountingLedger implements Ledger {
        private long position;

        @Override
        public void apply(long offset, Instant time, RecordBatch batch) {
            position = offset;
        }

        @Override
        public long position() {
            return position;
        }

        @Override
        public byte[] snapshot() {
            return new byte[0];
        }

        @Override
        public void restore(long asOf, byte[] state) {
            position = asOf;
        }
    }
}
