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

/** Guards against a stalled reader of the log that delays requests. */
class BoundedLineWriterTest {
    private static final int LINES = 10_000;

    private static LogEntry entry(String text) {
        return new LogEntry(null, null, null, null, null, null, -1, null, null, text, null);
    }

    @Test
    void writesLinesInOrder() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        BoundedLineWriter writer = new BoundedLineWriter(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        writer.write(entry("one"));
        writer.write(entry("two"));
        await().untilAsserted(() -> assertEquals("one\ntwo\n", bytes.toString(StandardCharsets.UTF_8)));
    }

    @Test
    void dropsAndCountsLinesWhileTheReaderIsStalled() {
        CountDownLatch released = new CountDownLatch(1);
        OutputStream blocked = new OutputStream() {
            @Override
            public void write(int b) {
                try {
                    released.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        BoundedLineWriter writer = new BoundedLineWriter(new PrintStream(blocked, true, StandardCharsets.UTF_8));
        long droppedBefore = BoundedLineWriter.droppedLines();
        long startNanos = System.nanoTime();
        for (int i = 0; i < LINES; i++) {
            writer.write(entry("line " + i));
        }
        assertTrue(System.nanoTime() - startNanos < Duration.ofSeconds(2).toNanos());
        assertTrue(BoundedLineWriter.droppedLines() > droppedBefore);
        released.countDown();
    }
}
