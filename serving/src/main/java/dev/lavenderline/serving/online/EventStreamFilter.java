package dev.lavenderline.serving.online;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import java.util.Locale;

/**
 * Passes on the events of a stream that can't be resumed, up to the first one that does not belong to it.
 *
 * <p>Invariants: the bytes passed on are those received, in order, and end with a complete event. An event above
 * {@link EventStreamParser#MAX_EVENT_BYTES} is not buffered: if what has arrived of it belongs to the stream, the rest
 * of the stream is passed on unchecked. Not thread-safe.
 */
final class EventStreamFilter {
    private final EventSequence sequence;
    private final EventStreamParser parser = new EventStreamParser(this::add);
    private Buffer accepted = Buffer.buffer();
    private boolean unchecked;

    EventStreamFilter(EventSequence sequence) {
        this.sequence = sequence;
    }

    /** Returns whether a response consists of events; one without a content type is taken to. */
    static boolean isEventStream(MultiMap headers) {
        String type = headers.get(HttpHeaders.CONTENT_TYPE);
        return type == null || type.toLowerCase(Locale.ROOT).startsWith("text/event-stream");
    }

    private void add(StreamEvent event) {
        if (sequence.accepts(event)) {
            accepted.appendBuffer(event.raw());
        }
    }

    /** Takes further bytes and returns those that may be passed on, none if no event has become complete. */
    Buffer feed(Buffer chunk) {
        accepted = Buffer.buffer();
        boolean withinLimit = parser.feed(chunk);
        if (sequence.broken()) {
            return accepted;
        }
        if (!withinLimit && !unchecked) {
            StreamEvent partial = parser.partialEvent();
            unchecked = sequence.accepts(partial) && !partial.controlOnly();
        }
        return unchecked ? accepted.appendBuffer(parser.takeRemainder()) : accepted;
    }

    /** Returns whether an event has arrived that does not belong to the stream. */
    boolean broken() {
        return sequence.broken();
    }

    boolean withinEvent() {
        return parser.hasPartialEvent();
    }

    /** Returns the bytes behind the last event of a stream that is not truncated: line ends, if any. */
    Buffer remainder() {
        return parser.takeRemainder();
    }
}
