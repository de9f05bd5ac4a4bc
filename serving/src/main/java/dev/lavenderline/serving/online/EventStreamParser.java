package dev.lavenderline.serving.online;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Splits a stream into complete server-sent events (HTML standard, section 9.2). A partial event is buffered until the
 * rest arrives, so that it is never forwarded.
 *
 * <p>Not thread-safe.
 */
public final class EventStreamParser {
    private final Consumer<StreamEvent> consumer;
    private Buffer pending = Buffer.buffer();
    private int scannedTo;

    public EventStreamParser(Consumer<StreamEvent> consumer) {
        this.consumer = consumer;
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    public boolean hasPartialEvent() {
        return pending.length() > 0;
    }

    /** Parses further bytes and passes each completed event to the consumer. */
    public void feed(Buffer chunk) {
        pending.appendBuffer(chunk);
        int start = 0;
        int end;
        while ((end = eventEnd(start)) >= 0) {
            Buffer raw = pending.getBuffer(start, end);
            start = end;
            scannedTo = end;
            consumer.accept(parse(raw));
        }
        if (start > 0) {
            pending = pending.getBuffer(start, pending.length());
            scannedTo = 0;
        }
    }

    /** Returns the position after the empty line that ends the event, -1 if the event is incomplete. */
    private int eventEnd(int start) {
        for (int i = Math.max(start, scannedTo - 3); i < pending.length(); i++) {
            if (pending.getByte(i) != '\n' || i == start) {
                continue;
            }
            int before = i - 1;
            if (pending.getByte(before) == '\r') {
                before--;
            }
            if (before >= start && pending.getByte(before) == '\n') {
                return i + 1;
            }
        }
        scannedTo = pending.length();
        return -1;
    }

    private static StreamEvent parse(Buffer raw) {
        OptionalLong id = OptionalLong.empty();
        StringBuilder data = null;
        for (String line : raw.toString(StandardCharsets.UTF_8).split("\r?\n", -1)) {
            if (line.startsWith("id:")) {
                id = parseId(fieldValue(line, 3));
            } else if (line.startsWith("data:")) {
                data = data == null ? new StringBuilder() : data.append('\n');
                data.append(fieldValue(line, 5));
            }
        }
        return new StreamEvent(id, data == null ? "" : data.toString(), raw);
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
