package dev.lavenderline.serving.online;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against events of a second copy, gaps and foreign bytes that are taken for a part of a stream. */
class EventSequenceTest {
    private static String event(String id) {
        return "id: " + id + "\ndata: text" + id + "\n\n";
    }

    /** Returns the ids of the events that belong to a stream, "-" for one without id, and "broken" if it is. */
    private static String accepted(OptionalLong lastId, String stream) {
        EventSequence sequence = new EventSequence(lastId);
        List<String> ids = new ArrayList<>();
        new EventStreamParser(event -> {
                    if (sequence.accepts(event)) {
                        ids.add(
                                event.id().isPresent()
                                        ? Long.toString(event.id().getAsLong())
                                        : "-");
                    }
                })
                .feed(Buffer.buffer(stream));
        if (sequence.broken()) {
            ids.add("broken");
        }
        return String.join(" ", ids);
    }

    private static String accepted(String stream) {
        return accepted(OptionalLong.empty(), stream);
    }

    @Test
    void streamBeginsWithAnyIdAndContinuesWithTheNext() {
        assertEquals("0 1 2", accepted(event("0") + event("1") + event("2")));
        assertEquals("1 2 3", accepted(event("1") + event("2") + event("3")));
        assertEquals("8 9", accepted(OptionalLong.of(7), event("8") + event("9")));
    }

    @Test
    void nothingIsAcceptedAfterARepeatedOrMissingEvent() {
        assertEquals("1 2 broken", accepted(event("1") + event("2") + event("1") + event("2") + event("3")));
        assertEquals("1 2 broken", accepted(event("1") + event("2") + event("2") + event("3")));
        assertEquals("1 broken", accepted(event("1") + event("3") + event("2")));
        assertEquals("broken", accepted(OptionalLong.of(7), event("1")));
    }

    @Test
    void eventWithoutIdIsForeignOnceIdsHaveBeenSeen() {
        assertEquals("1 broken", accepted(event("1") + "HTTP/1.1 200 OK\r\nLength: 5\r\n\r\n" + event("2")));
        assertEquals("broken", accepted(OptionalLong.of(7), "data: text\n\n"));
        assertEquals("- - -", accepted("data: a\n\ndata: b\n\nid: uuid\ndata: c\n\n"));
    }

    @Test
    void commentsFurtherFieldsAndEmptyLinesAreAllowed() {
        assertEquals("1 - 2", accepted(event("1") + ": comment\n\n" + event("2")));
        assertEquals("1 - 2", accepted(event("1") + "\r\n\r\n" + event("2")));
        assertEquals("1 2", accepted(event("1") + "weight-versions: 3\nid: 2\ndata: several tokens\n\n"));
    }

    /** Guards against a stream that begins anew behind events that name no id, and one that comments keep from it. */
    @Test
    void onlyIdsMakeAStreamContinuable() {
        EventSequence sequence = new EventSequence(OptionalLong.empty());
        EventStreamParser parser = new EventStreamParser(event -> assertTrue(sequence.accepts(event)));
        parser.feed(Buffer.buffer(": comment\n\n"));
        assertTrue(sequence.continuable());
        parser.feed(Buffer.buffer("data: text\n\n"));
        assertFalse(sequence.continuable());
        parser.feed(Buffer.buffer(event("1")));
        assertTrue(sequence.continuable());
    }

    private static String filtered(String... chunks) {
        EventStreamFilter filter = new EventStreamFilter(new EventSequence(OptionalLong.empty()));
        Buffer passed = Buffer.buffer();
        for (String chunk : chunks) {
            passed.appendBuffer(filter.feed(Buffer.buffer(chunk)));
        }
        return passed.appendBuffer(filter.broken() ? Buffer.buffer("broken") : filter.remainder())
                .toString();
    }

    /** Guards against a filter that changes the bytes of a stream that is sound. */
    @Test
    void filterPassesOnAllBytesOfASoundStream() {
        String stream = "\n" + event("1") + ": comment\r\n\r\n" + event("2") + event("3") + "\r\n";
        for (int cut = 0; cut <= stream.length(); cut++) {
            assertEquals(stream, filtered(stream.substring(0, cut), stream.substring(cut)));
        }
        assertEquals(event("1") + "broken", filtered(event("1") + event("1")));
    }

    /** Guards against an event above the limit that is cut, and against one that is passed on though it is a copy. */
    @Test
    void filterPassesOnLongEventsOfTheStreamOnly() {
        String text = "x".repeat(2 * EventStreamParser.MAX_EVENT_BYTES);
        String longEvent = "id: 2\ndata: " + text + "\n\n";
        assertEquals(event("1") + longEvent + event("3"), filtered(event("1"), longEvent + event("3")));
        String inPieces = filtered(event("1") + "id: 2\ndata: ", text, "\n\n" + event("3"));
        assertEquals(event("1") + longEvent + event("3"), inPieces);
        String copied = filtered(event("1"), event("2"), longEvent, event("3"));
        assertEquals(event("1") + event("2") + "broken", copied);
        assertFalse(copied.contains("xx"));
    }

    /** Guards against an event that was cut and goes on with another response, whose empty line ends the event. */
    @Test
    void eventThatGoesOnWithAnotherResponseIsForeign() {
        String head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\n";
        String lowerCaseHead = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 4\r\n\r\n";
        for (String cut :
                List.of("id: 2\n", "id: 2\ndata: te", "id: 2\ndata: text2\n", "", "da", "weight-versions: 3\n")) {
            assertEquals("1 broken", accepted(event("1") + cut + head + event("3")), cut);
            assertEquals("1 broken", accepted(event("1") + cut + lowerCaseHead), cut);
            assertEquals("broken", accepted(cut + head), cut);
        }
        assertEquals("1 broken", accepted(event("1") + "id: 2\nInternal Server Error\n\n"));
    }

    /** Guards against breaking off a stream for its text, its fields or the mark at its beginning. */
    @Test
    void textOfAnEventMayQuoteAResponse() {
        assertEquals(
                "- 2", accepted("\uFEFF" + event("1") + "id: 2\ndata: HTTP/1.1 200 OK\ndata: Content-Length: 4\n\n"));
        assertEquals("1", accepted("trace-id: 7\nid: 1\nevent: delta\ndata\nretry: 5\n\n"));
    }

    /** Guards against an upstream that writes comments without end instead of events. */
    @Test
    void commentsWithoutEndBreakAStream() {
        String comments = ": comment\n\n".repeat(1 + EventSequence.MAX_CONTROL_BYTES / 11);
        assertTrue(accepted(event("1") + comments).endsWith("broken"));
        assertFalse(accepted(event("1") + comments.substring(0, comments.length() / 11 / 2 * 11) + event("2"))
                .endsWith("broken"));
        assertTrue(accepted("\n".repeat(2 + EventSequence.MAX_CONTROL_BYTES)).endsWith("broken"));
    }
}
