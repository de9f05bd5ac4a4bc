package dev.lavenderline.serving.online;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Splits an event stream into complete events; source: the HTML standard, section 9.2 (server-sent events). A partial
 * event at the end is kept until it is complete, so that it is never forwarded.
 *
 * <p>Not thread-safe.
 */
public final class EventStreamParser {
    private final Consumer<StreamEvent> sink;
    private Buffer pending = Buffer.buffer();
    private int scanned;

    public EventStreamParser(Consumer<StreamEvent> sink) {
        this.sink = sink;
    }

    /** Returns whether bytes of an incomplete event are kept. */
    public boolean partial() {
        return pending.length() > 0;
    }

    /** Adds bytes and hands over the events that they complete. */
    public void feed(Buffer piece) {
        pending.appendBuffer(piece);
        int start = 0;
        int end;
        while ((end = eventEnd(start)) >= 0) {
            Buffer raw = pending.getBuffer(start, end);
            start = end;
            scanned = end;
            sink.accept(parse(raw));
        }
        if (start > 0) {
            pending = pending.getBuffer(start, pending.length());
            scanned = 0;
        }
    }

    /** Returns the position after the empty line that ends the event, -1 if it is not there yet. */
    private int eventEnd(int start) {
        for (int i = Math.max(start, scanned - 3); i < pending.length(); i++) {
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
        scanned = pending.length();
        return -1;
    }

    private static StreamEvent parse(Buffer raw) {
        OptionalLong id = OptionalLong.empty();
        StringBuilder data = null;
        for (String line : raw.toString(StandardCharsets.UTF_8).split("\r?\n", -1)) {
            if (line.startsWith("id:")) {
                id = number(value(line, 3));
            } else if (line.startsWith("data:")) {
                data = data == null ? new StringBuilder() : data.append('\n');
                data.append(value(line, 5));
            }
        }
        return new StreamEvent(id, data == null ? "" : data.toString(), raw);
    }

    private static String value(String line, int from) {
        return line.startsWith(" ", from) ? line.substring(from + 1) : line.substring(from);
    }

    private static OptionalLong number(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException e) {
            // An id that is no number can't be resumed from; the event itself is still complete.
            return OptionalLong.empty();
        }
    }
}
