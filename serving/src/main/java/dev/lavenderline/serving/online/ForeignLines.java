package dev.lavenderline.serving.online;

import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Finds lines within a server-sent event that an upstream of streams does not write: a faulty one may stop in the
 * middle of an event and go on with the head of another response, whose empty line then seems to end the event.
 *
 * <p>Stateless and thread-safe.
 */
final class ForeignLines {
    /** The fields of events (HTML standard, section 9.2.6). */
    private static final Set<String> STANDARD_FIELDS = Set.of("data", "event", "id", "retry");

    /** Names of further fields; clients ignore them. Those of header fields mostly have capitals. */
    private static final Pattern FURTHER_FIELD = Pattern.compile("[a-z][a-z0-9_-]*");

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}(?: |$)");

    private static final String BYTE_ORDER_MARK = "\uFEFF";

    private ForeignLines() {}

    /**
     * Returns whether one of an event's lines is no field: one whose name no field has, or a further field behind a
     * status line, which may begin within the value of a field that was cut.
     */
    static boolean in(List<String> lines) {
        boolean statusLine = false;
        for (int i = 0; i < lines.size(); i++) {
            String line = i == 0 && lines.get(i).startsWith(BYTE_ORDER_MARK)
                    ? lines.get(i).substring(1)
                    : lines.get(i);
            int colon = line.indexOf(':');
            String name = colon < 0 ? line : line.substring(0, colon);
            if (name.isEmpty()) {
                continue;
            }
            if (STANDARD_FIELDS.contains(name)) {
                statusLine |= STATUS_LINE.matcher(line).find();
            } else if (statusLine || !FURTHER_FIELD.matcher(name).matches()) {
                return true;
            }
        }
        return false;
    }
}
