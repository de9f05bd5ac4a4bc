package dev.lavenderline.serving.logging;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.tinylog.core.LogEntry;

/** Guards against a reader of the log that stands still and delays requests. */
class BoundedLineWriterTest {
    private static final int LINES = 10_000;

    private static LogEntry line(String text) {
        return new LogEntry(null, null, null, null, null, null, -1, null, null, text, null);
    }

    @Test
    void writesLinesInTheirOrder() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        BoundedLineWriter writer = new BoundedLineWriter(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        writer.write(line("one"));
        writer.write(line("two"));
        await().untilAsserted(() -> assertEquals("one\ntwo\n", bytes.toString(StandardCharsets.UTF_8)));
    }

    @Test
    void dropsAndCountsLinesWhenTheReaderStandsStill() {
        CountDownLatch released = new CountDownLatch(1);
        OutputStream blocked = new OutputStream() {
            @Override
            public void write(int one) {
                try {
                    released.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        BoundedLineWriter writer = new BoundedLineWriter(new PrintStream(blocked, true, StandardCharsets.UTF_8));
        long before = BoundedLineWriter.droppedLines();
        long started = System.nanoTime();
        for (int i = 0; i < LINES; i++) {
            writer.write(line("line " + i));
        }
        assertTrue(System.nanoTime() - started < Duration.ofSeconds(2).toNanos());
        assertTrue(BoundedLineWriter.droppedLines() > before);
        released.countDown();
    }
}
