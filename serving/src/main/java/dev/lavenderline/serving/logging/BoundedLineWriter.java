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
 * tinylog writer that hands lines to a thread of its own through a bounded queue. A line is dropped and counted if the
 * queue is full, so that a reader of standard output that stands still never delays a request.
 *
 * <p>Thread-safe.
 */
public final class BoundedLineWriter implements Writer {
    private static final int QUEUED_LINES = 4096;
    private static final long FLUSH_LIMIT_MS = 500;
    private static final AtomicLong DROPPED = new AtomicLong();

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUED_LINES);
    private final PrintStream out;

    /**
     * Called by tinylog.
     *
     * @param properties not used
     */
    public BoundedLineWriter(Map<String, String> properties) {
        this(System.out);
    }

    BoundedLineWriter(PrintStream out) {
        this.out = out;
        Thread thread = new Thread(this::writeAll, "log-writer");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the number of lines that were dropped by all writers of the process. */
    public static long droppedLines() {
        return DROPPED.get();
    }

    private void writeAll() {
        try {
            while (true) {
                StringBuilder some = new StringBuilder(lines.take()).append('\n');
                for (String next = lines.poll(); next != null; next = lines.poll()) {
                    some.append(next).append('\n');
                }
                out.print(some);
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
        for (long waited = 0; !lines.isEmpty() && waited < FLUSH_LIMIT_MS; waited += 10) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    @Override
    public void close() throws InterruptedException {
        flush();
    }
}
