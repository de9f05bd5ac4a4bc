package dev.lavenderline.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.RuntimeProvider;

/** Guards against log entries that are not valid JSON, span several lines, or lose the event code or the exception. */
class JsonLinesTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final JsonLinesWriter writer = new JsonLinesWriter(new PrintStream(out, true, StandardCharsets.UTF_8));

    @Test
    void eventIsOneObjectInOneLine() throws Exception {
        writer.write(entry("LL-1012 child \"platform\" failed:\nline two", new IllegalStateException("broken")));
        writer.write(entry("library message", null));

        List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertEquals(2, lines.size());
        JsonNode event = new ObjectMapper().readTree(lines.get(0));
        assertEquals("LL-1012", event.get("code").asText());
        assertEquals(
                "child \"platform\" failed:\nline two", event.get("message").asText());
        assertEquals("error", event.get("level").asText());
        assertTrue(event.get("exception").asText().contains("IllegalStateException: broken"));
        JsonNode other = new ObjectMapper().readTree(lines.get(1));
        assertEquals("library message", other.get("message").asText());
        assertTrue(other.path("code").isMissingNode());
    }

    @Test
    void tinylogFindsTheWriterByTheConfiguredName() {
        Settings.Logging settings = new Settings.Logging(Settings.LogFormat.JSON, Settings.LogLevel.INFO);

        Object found = new org.tinylog.configuration.ServiceLoader<>(org.tinylog.writers.Writer.class, Map.class)
                .create(Logging.properties(settings).get("writer"), Map.of());

        assertEquals(JsonLinesWriter.class, found.getClass());
    }

    private static LogEntry entry(String message, Throwable cause) {
        return new LogEntry(
                RuntimeProvider.createTimestamp(),
                Thread.currentThread(),
                Map.of(),
                "Node",
                "log",
                "Node.java",
                1,
                null,
                Level.ERROR,
                message,
                cause);
    }
}
