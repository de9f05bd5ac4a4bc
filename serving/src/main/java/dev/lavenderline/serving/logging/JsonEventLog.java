package dev.lavenderline.serving.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import dev.lavenderline.core.Ticker;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Writes events as JSON objects, one per line, through tinylog. The rate of lines is limited; dropped lines are counted
 * and reported in the next second.
 *
 * <p>Thread-safe.
 */
public final class JsonEventLog implements EventLog {
    /** Three times a node's lines at the peak of the design scale: 12,000 requests/s on 530 nodes. */
    private static final int MAX_LINES_PER_SECOND = 200;

    private static final long WINDOW_NANOS = Duration.ofSeconds(1).toNanos();

    private final JsonFactory json = new JsonFactory();
    private final Ticker ticker;
    private final String node;
    private final AtomicLong dropped = new AtomicLong();
    private long windowStartNanos;
    private int linesInWindow;

    public JsonEventLog(Ticker ticker, String node) {
        this.ticker = ticker;
        this.node = node;
        this.windowStartNanos = ticker.nanos();
    }

    /** Returns the number of lines dropped so far. */
    public long droppedLines() {
        return dropped.get() + BoundedLineWriter.droppedLines();
    }

    @Override
    public void event(ServingEvent event, Object... fields) {
        if (!admit()) {
            dropped.incrementAndGet();
            return;
        }
        Logger.info(format(event, fields));
    }

    private synchronized boolean admit() {
        long now = ticker.nanos();
        if (now - windowStartNanos >= WINDOW_NANOS) {
            windowStartNanos = now;
            int excess = linesInWindow - MAX_LINES_PER_SECOND;
            linesInWindow = 0;
            if (excess > 0) {
                Logger.info(format(ServingEvent.LINES_DROPPED, "count", excess, "total", droppedLines()));
            }
        }
        return ++linesInWindow <= MAX_LINES_PER_SECOND;
    }

    private String format(ServingEvent event, Object... fields) {
        StringWriter text = new StringWriter(256);
        try (JsonGenerator out = json.createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("time", ticker.now().toString());
            out.writeStringField("node", node);
            out.writeStringField("code", event.code());
            out.writeStringField("event", event.message());
            for (int i = 0; i + 1 < fields.length; i += 2) {
                out.writeFieldName(String.valueOf(fields[i]));
                writeValue(out, fields[i + 1]);
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void writeValue(JsonGenerator out, Object value) throws IOException {
        if (value == null) {
            out.writeNull();
        } else if (value instanceof Integer || value instanceof Long) {
            out.writeNumber(((Number) value).longValue());
        } else if (value instanceof Boolean flag) {
            out.writeBoolean(flag);
        } else if (value instanceof Duration duration) {
            out.writeNumber(duration.toMillis());
        } else {
            out.writeString(value.toString());
        }
    }
}
