package dev.lavenderline.standins.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The place at which an engine stops within the head of an answer. */
public enum HeadCut {
    STATUS_LINE,
    REASON_PHRASE,
    FIELD_NAME,
    FIELD_VALUE,
    /** Within the value of the length or the transfer encoding; in a head without either, within that of any field. */
    FRAMING_VALUE,
    /** Between the two bytes of a line's end, or right behind them. */
    LINE_END,
    /** Before or within the empty line. */
    EMPTY_LINE;

    private static final int REASON_START = "HTTP/1.1 200 ".length();

    /** A part of a head in which it may be cut, in bytes. */
    private record Span(int start, int end) {}

    /**
     * Returns the first bytes of an answer, which end at this place of its head.
     *
     * @param at which of all such places, 0 to 1
     */
    byte[] firstPart(byte[] answer, double at) {
        String text = new String(answer, StandardCharsets.ISO_8859_1);
        String head = text.substring(0, text.indexOf("\r\n\r\n") + 4);
        List<Span> spans = spans(head);
        double choice = at * spans.size();
        Span span = spans.get((int) choice);
        int length = span.start() + (int) ((choice - (int) choice) * (span.end() - span.start()));
        return Arrays.copyOf(answer, length);
    }

    private List<Span> spans(String head) {
        int statusLineEnd = head.indexOf("\r\n");
        return switch (this) {
            case STATUS_LINE -> List.of(new Span(1, REASON_START));
            case REASON_PHRASE -> List.of(new Span(REASON_START, statusLineEnd + 1));
            case EMPTY_LINE -> List.of(new Span(head.length() - 2, head.length()));
            case FIELD_NAME, FIELD_VALUE, FRAMING_VALUE, LINE_END -> fieldSpans(head, statusLineEnd + 2);
        };
    }

    private List<Span> fieldSpans(String head, int firstField) {
        List<Span> spans = new ArrayList<>();
        List<Span> framing = new ArrayList<>();
        for (int start = firstField; start < head.length() - 2; start = head.indexOf("\r\n", start) + 2) {
            int colon = head.indexOf(':', start);
            int end = head.indexOf("\r\n", start);
            Span value = new Span(colon + 1, end + 1);
            spans.add(
                    switch (this) {
                        case FIELD_NAME -> new Span(start + 1, colon + 1);
                        case LINE_END -> new Span(end + 1, end + 3);
                        default -> value;
                    });
            String name = head.substring(start, colon);
            if (name.equals("Content-Length") || name.equals("Transfer-Encoding")) {
                framing.add(value);
            }
        }
        return this == FRAMING_VALUE && !framing.isEmpty() ? framing : spans;
    }
}
