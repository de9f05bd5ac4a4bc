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

/** Guards against partial, joined or changed events, however the bytes are cut. */
class EventStreamParserTest {
    private static final String STREAM = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\ndata: a\ndata: b\n\n";

    private static List<StreamEvent> parse(String text, int pieceLength) {
        List<StreamEvent> events = new ArrayList<>();
        EventStreamParser parser = new EventStreamParser(events::add);
        Buffer all = Buffer.buffer(text);
        for (int at = 0; at < all.length(); at += pieceLength) {
            parser.feed(all.getBuffer(at, Math.min(all.length(), at + pieceLength)));
        }
        return events;
    }

    @Property
    void eventsDoNotDependOnHowTheBytesAreCut(@ForAll @IntRange(min = 1, max = 60) int pieceLength) {
        List<StreamEvent> events = parse(STREAM, pieceLength);
        assertEquals(3, events.size());
        assertEquals(OptionalLong.of(1), events.get(0).id());
        assertEquals("two", events.get(1).data());
        assertEquals("a\nb", events.get(2).data());
        assertEquals(
                STREAM, events.stream().map(event -> event.raw().toString()).reduce("", String::concat));
    }

    @Test
    void partialEventIsKept() {
        List<StreamEvent> events = new ArrayList<>();
        EventStreamParser parser = new EventStreamParser(events::add);
        parser.feed(Buffer.buffer("id: 1\ndata: one\n\nid: 2\ndata: tw"));
        assertEquals(1, events.size());
        assertTrue(parser.partial());
        parser.feed(Buffer.buffer("o\n\n"));
        assertEquals(2, events.size());
        assertFalse(parser.partial());
    }
}
