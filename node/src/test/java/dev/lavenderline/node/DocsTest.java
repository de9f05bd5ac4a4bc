package dev.lavenderline.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.LogEvent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a flag or an event that the pages do not describe, or that they describe but the code no longer has.
 *
 * <p>{@code mvn test -pl node -am -Dtest=DocsTest -Dsurefire.failIfNoSpecifiedTests=false -Ddocs.update=true} writes
 * the generated parts of the pages.
 */
class DocsTest {
    private static final Path DOCS = Path.of("..", "docs");

    /** The events of each module. */
    private static final List<List<? extends LogEvent>> EVENTS = List.of(List.of(NodeEvent.values()));

    @Test
    void operationsPageHasTheSettingsTable() throws IOException {
        check(DOCS.resolve("operations.md"), "settings", SettingsTable.markdown());
    }

    @Test
    void eventsPageListsAllEvents() throws IOException {
        StringBuilder table = new StringBuilder("| code | event | message |\n| --- | --- | --- |\n");
        for (List<? extends LogEvent> events : EVENTS) {
            for (LogEvent event : events) {
                table.append("| ")
                        .append(event.code())
                        .append(" | `")
                        .append(event)
                        .append("` | ");
                table.append(event.message()).append(" |\n");
            }
        }
        check(DOCS.resolve("events.md"), "events", table.toString());
    }

    @Test
    void eventCodesAreUniqueAndWellFormed() {
        Set<String> codes = new HashSet<>();
        for (List<? extends LogEvent> events : EVENTS) {
            for (LogEvent event : events) {
                assertTrue(event.code().matches("LL-1[0-9]{3}"), event.code());
                assertTrue(codes.add(event.code()), "used twice: " + event.code());
            }
        }
        for (NodeEvent event : NodeEvent.values()) {
            assertTrue(event.code().startsWith("LL-10"), event.code());
        }
    }

    private static void check(Path page, String part, String expected) throws IOException {
        String begin = "<!-- generated: " + part + " -->\n";
        String end = "<!-- end of generated part -->\n";
        String text = Files.readString(page);
        int from = text.indexOf(begin) + begin.length();
        int to = text.indexOf(end, from);
        assertTrue(from >= begin.length() && to >= from, page + " lacks the marks of the part " + part);
        if (Boolean.getBoolean("docs.update")) {
            Files.writeString(page, text.substring(0, from) + expected + text.substring(to));
            return;
        }
        assertEquals(expected, text.substring(from, to), page + " differs from the code, see DocsTest");
    }
}
