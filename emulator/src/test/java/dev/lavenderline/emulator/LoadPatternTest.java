package dev.lavenderline.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that bad patterns and arguments are reported and never played. */
class LoadPatternTest {
    @TempDir
    Path folder;

    private Path changed(String from, String to) throws IOException {
        String text = Files.readString(Path.of("patterns/overload.yaml"));
        assertTrue(text.contains(from), from);
        return Files.writeString(folder.resolve("pattern.yaml"), text.replaceFirst(from, to));
    }

    private void assertRejected(String from, String to, String problem) throws IOException {
        Path file = changed(from, to);
        IOException failure = assertThrows(IOException.class, () -> LoadPattern.read(file));
        assertTrue(failure.getMessage().contains(problem), failure.getMessage());
    }

    @Test
    void reportsBadValues() throws IOException {
        assertRejected("nodes: 16", "nodes: 0", "nodes and failureDomains must be positive");
        assertRejected("low: 0.38", "low: 3", "high must not be below low");
        assertRejected("dueSeconds: 18", "dueSeconds: -1", "dueSeconds must be positive");
        assertRejected("nodes: 16", "nodes: 16\nnodez: 3", "nodez");
        assertRejected("nodes: 16", "", "nodes");
    }

    @Test
    void commandReportsBadArguments() {
        assertEquals(2, Main.run(new String[] {"run", "missing.yaml"}));
        assertEquals(2, Main.run(new String[] {"play"}));
        assertEquals(2, Main.run(new String[] {"run", "patterns/overload.yaml", "--seeds", "0"}));
        assertEquals(2, Main.run(new String[] {"run", "patterns/overload.yaml", "--policy", "none"}));
    }
}
