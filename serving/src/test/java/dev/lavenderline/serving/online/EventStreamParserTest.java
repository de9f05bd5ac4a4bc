package dev.lavenderline.serving.online;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against partial, merged or altered events at any chunk boundaries of the stream. */
class EventStreamParserTest {
    private static final String STREAM = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\ndata: a\ndata: b\n\n";

    private static List<StreamEvent> parse(String text, int chunkLength) {
        List<StreamEvent> events = new ArrayList<>();
        EventStreamParser parser = new EventStreamParser(events::add);
        Buffer bytes = Buffer.buffer(text);
        for (int at = 0; at < bytes.length(); at += chunkLength) {
            parser.feed(bytes.getBuffer(at, Math.min(bytes.length(), at + chunkLength)));
        }
        return events;
    }

    @Property
    void eventsDoNotDependOnChunkBoundaries(@ForAll @IntRange(min = 1, max = 60) int chunkLength) {
        List<StreamEvent> events = parse(STREAM, chunkLength);
        assertEquals(3, events.size());
        assertEquals(OptionalLong.of(1), events.get(0).id());
        assertEquals("two", events.get(1).data());
        assertEquals("a\nb", events.get(2).data());
        assertEquals(
                STREAM, events.stream().map(event -> event.raw().toString()).reduce("", String::concat));
    }

    @Test
    void partialEventIsBuffered() {
        List<StreamEvent> events = new ArrayList<>();
        EventStreamParser parser = new EventStreamParser(events::add);
        parser.feed(Buffer.buffer("id: 1\ndata: one\n\nid: 2\ndata: tw"));
        assertEquals(1, events.size());
        assertTrue(parser.hasPartialEvent());
        parser.feed(Buffer.buffer("o\n\n"));
        assertEquals(2, events.size());
        assertFalse(parser.hasPartialEvent());
    }

    /** Guards against taking an empty line after the last event for an event that was cut. */
    @Test
    void emptyLineAfterTheLastEventIsNoPartialEvent() {
        EventStreamParser parser = new EventStreamParser(event -> {});
        parser.feed(Buffer.buffer("id: 1\r\ndata: one\r\n\r\n\r\n"));
        assertFalse(parser.hasPartialEvent());
        parser.feed(Buffer.buffer("id"));
        assertTrue(parser.hasPartialEvent());
    }
}
