package dev.lavenderline.serving.online;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Splits a stream into complete server-sent events (HTML standard, section 9.2). A partial event is buffered until the
 * rest arrives, so that it is never forwarded.
 *
 * <p>Invariant: at most {@link #MAX_EVENT_BYTES} and the last chunk are buffered, unless further bytes are fed after an
 * event was too long. Not thread-safe.
 */
public final class EventStreamParser {
    /** Size of an event, in bytes, above which a stream is broken; engines send a few tokens in an event. */
    static final int MAX_EVENT_BYTES = 256 * 1024;

    private final Consumer<StreamEvent> consumer;
    private final EventBoundaryScanner boundaries = new EventBoundaryScanner();
    private Buffer pending = Buffer.buffer();
    private boolean oversized;

    public EventStreamParser(Consumer<StreamEvent> consumer) {
        this.consumer = consumer;
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    public boolean hasPartialEvent() {
        return boundaries.withinEvent();
    }

    /**
     * Parses further bytes and passes each completed event to the consumer. Returns false once an event is larger than
     * {@link #MAX_EVENT_BYTES}; that event and all further bytes are only kept for {@link #takeRemainder}.
     */
    public boolean feed(Buffer chunk) {
        int start = 0;
        for (int i = 0; i < chunk.length(); i++) {
            if (!boundaries.scan(chunk.getByte(i)) || oversized) {
                oversized |= pending.length() + i + 1 - start > MAX_EVENT_BYTES;
                continue;
            }
            consumer.accept(parse(pending.appendBuffer(chunk, start, i + 1 - start)));
            pending = Buffer.buffer();
            start = i + 1;
        }
        pending.appendBuffer(chunk, start, chunk.length() - start);
        return !oversized;
    }

    /** Returns the first {@link #MAX_EVENT_BYTES} of what has arrived of an event that is not complete. */
    StreamEvent partialEvent() {
        return parse(pending.slice(0, Math.min(pending.length(), MAX_EVENT_BYTES)));
    }

    /** Removes and returns the bytes that belong to no complete event. */
    Buffer takeRemainder() {
        Buffer remainder = pending;
        pending = Buffer.buffer();
        return remainder;
    }

    private static StreamEvent parse(Buffer raw) {
        OptionalLong id = OptionalLong.empty();
        StringBuilder data = null;
        boolean controlOnly = true;
        List<String> lines = List.of(raw.toString(StandardCharsets.UTF_8).split("\r?\n", -1));
        for (String line : lines) {
            controlOnly &= line.isEmpty() || line.startsWith(":") || line.startsWith("retry:");
            if (line.startsWith("id:")) {
                id = parseId(fieldValue(line, 3));
            } else if (line.startsWith("data:")) {
                data = data == null ? new StringBuilder() : data.append('\n');
                data.append(fieldValue(line, 5));
            }
        }
        return new StreamEvent(id, data == null ? "" : data.toString(), controlOnly, ForeignLines.in(lines), raw);
    }

    private static String fieldValue(String line, int from) {
        return line.startsWith(" ", from) ? line.substring(from + 1) : line.substring(from);
    }

    private static OptionalLong parseId(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException e) {
            // A stream can't be resumed from a non-numeric id, but the event itself is still complete.
            return OptionalLong.empty();
        }
    }
}
