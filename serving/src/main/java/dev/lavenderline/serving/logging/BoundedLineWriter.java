package dev.lavenderline.serving.logging;

import java.io.PrintStream;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * tinylog writer that passes lines through a bounded queue to a dedicated thread. Lines that don't fit into the queue
 * are dropped and counted, so that a stalled reader of standard output never delays a request.
 *
 * <p>Thread-safe.
 */
public final class BoundedLineWriter implements Writer {
    private static final int MAX_QUEUED_LINES = 4096;
    private static final long FLUSH_TIMEOUT_MS = 500;
    private static final AtomicLong DROPPED = new AtomicLong();

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final PrintStream out;

    /**
     * Called by tinylog.
     *
     * @param properties ignored
     */
    public BoundedLineWriter(Map<String, String> properties) {
        this(System.out);
    }

    BoundedLineWriter(PrintStream out) {
        this.out = out;
        Thread thread = new Thread(this::writeQueuedLines, "log-writer");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the number of lines dropped by all writers of the process. */
    public static long droppedLines() {
        return DROPPED.get();
    }

    private void writeQueuedLines() {
        try {
            while (true) {
                StringBuilder batch = new StringBuilder(lines.take()).append('\n');
                for (String next = lines.poll(); next != null; next = lines.poll()) {
                    batch.append(next).append('\n');
                }
                out.print(batch);
                out.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) {
        String text = String.valueOf(entry.getMessage());
        if (entry.getException() != null) {
            text = text + " " + entry.getException();
        }
        if (!lines.offer(text)) {
            DROPPED.incrementAndGet();
        }
    }

    @Override
    public void flush() throws InterruptedException {
        for (long waitedMs = 0; !lines.isEmpty() && waitedMs < FLUSH_TIMEOUT_MS; waitedMs += 10) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    @Override
    public void close() throws InterruptedException {
        flush();
    }
}
