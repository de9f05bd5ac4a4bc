package dev.lavenderline.serving.logging;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Guards against events that docs/events.md omits or lists with another name or message. */
class EventsPageTest {
    @Test
    void pageListsAllEvents() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "events.md"));
        for (ServingEvent event : ServingEvent.values()) {
            String row = "| " + event.code() + " | `" + event.name() + "` | " + event.message() + " |";
            assertTrue(page.contains(row), "docs/events.md lacks: " + row);
        }
    }
}
