package dev.lavenderline.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.http.HttpEvent;
import dev.lavenderline.log.PlatformEvent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against flags and events that are missing in the documentation, or that it describes but the code lacks.
 *
 * <p>{@code mvn test -pl node -am -Dtest=DocsTest -Dsurefire.failIfNoSpecifiedTests=false -Ddocs.update=true} writes
 * the generated parts of the documentation.
 */
class DocsTest {
    private static final Path DOCS = Path.of("..", "docs");

    /** A row of the events page. */
    private record Row(String code, String name, String message) {}

    /** The events of all modules in the order of their codes. */
    private static final List<Row> EVENTS = Stream.of(
                    rows(NodeEvent.values(), NodeEvent::code, NodeEvent::message),
                    rows(PlatformEvent.values(), PlatformEvent::code, PlatformEvent::message),
                    peerRows(),
                    rows(HttpEvent.values(), HttpEvent::code, HttpEvent::message))
            .flatMap(List::stream)
            .toList();

    private static <E extends Enum<E>> List<Row> rows(
            E[] events, Function<E, String> code, Function<E, String> message) {
        return Arrays.stream(events)
                .map(event -> new Row(code.apply(event), event.name(), message.apply(event)))
                .toList();
    }

    /** The enum is not visible here and has no message patterns; its {@code toString()} returns the code. */
    private static List<Row> peerRows() {
        try {
            return Arrays.stream(
                            Class.forName("dev.lavenderline.peer.PeerEvent").getEnumConstants())
                    .map(event -> new Row(event.toString(), ((Enum<?>) event).name(), ""))
                    .toList();
        } catch (ClassNotFoundException e) {
            throw new IllegalStateException("the peer module has no event enum", e);
        }
    }

    @Test
    void operationsPageHasTheSettingsTable() throws IOException {
        check(DOCS.resolve("OPERATIONS.md"), "settings", SettingsTable.markdown());
    }

    @Test
    void eventsPageListsAllEvents() throws IOException {
        StringBuilder table = new StringBuilder("| code | event | message |\n| --- | --- | --- |\n");
        for (Row event : EVENTS) {
            table.append("| " + event.code() + " | `" + event.name() + "` | " + event.message() + " |\n");
        }
        check(DOCS.resolve("events.md"), "events", table.toString());
    }

    @Test
    void eventCodesAreUniqueAndInOrder() {
        List<String> codes = EVENTS.stream().map(Row::code).toList();

        assertTrue(codes.stream().allMatch(code -> code.matches("LL-1[0-9]{3}")), codes.toString());
        assertEquals(codes.stream().distinct().sorted().toList(), codes);
        assertTrue(
                Arrays.stream(NodeEvent.values()).allMatch(event -> event.code().startsWith("LL-10")));
    }

    /** An enum that is missing in {@link #EVENTS} would be missing in the page too. */
    @Test
    void everyEventEnumOfTheModulesIsListed() throws IOException {
        Set<String> found = new TreeSet<>();
        for (String module : List.of("core", "log", "peer", "http", "node")) {
            try (Stream<Path> sources = Files.walk(Path.of("..", module, "src", "main", "java"))) {
                sources.map(path -> path.getFileName().toString())
                        .filter(name -> name.matches("(Node|Platform|Http|Peer)Event\\.java"))
                        .forEach(found::add);
            }
        }

        assertEquals(Set.of("NodeEvent.java", "PlatformEvent.java", "PeerEvent.java", "HttpEvent.java"), found);
    }

    private static void check(Path page, String part, String expected) throws IOException {
        String begin = "<!-- generated: " + part + " -->\n";
        String end = "<!-- end of generated part -->\n";
        String text = Files.readString(page);
        int from = text.indexOf(begin) + begin.length();
        int to = text.indexOf(end, from);
        assertTrue(from >= begin.length() && to >= from, page + " lacks the markers of the generated part " + part);
        if (Boolean.getBoolean("docs.update")) {
            Files.writeString(page, text.substring(0, from) + expected + text.substring(to));
            return;
        }
        assertEquals(expected, text.substring(from, to), page + " differs from the code, see DocsTest");
    }
}
