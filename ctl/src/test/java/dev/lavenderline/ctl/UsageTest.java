package dev.lavenderline.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Map;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against misread command lines, and against usage errors that are reported one at a time. */
class UsageTest {
    @Test
    void allFaultsOfACommandLineAtOnce() {
        StringBuilder text = new StringBuilder();
        String[][] lines = {
            {},
            {"publish", "x"},
            {"check"},
            {"check", "a", "b", "--author", "x", "--wait=1", "--output", "xml"},
            {"apply", "a", "--log-url", "log:1", "--base", "-3", "--timeout", "5", "--author"},
            {"status", "--nodes", "127.0.0.1:1,localhost:2,", "--wait", "x", "--wait", "y"},
            {"status", "now"},
            {"dump", "node-1"},
            {"cancel", "j", "--output", "json"},
        };
        for (String[] line : lines) {
            Run run = Run.of(line);
            assertEquals(2, run.exitCode(), String.join(" ", line));
            text.append("$ lavenderctl ").append(String.join(" ", line)).append('\n');
            text.append(run.out()).append(run.err()).append('\n');
        }
        Approvals.verify(text.toString());
    }

    @Test
    void helpListsAllCommandsAndFlags() {
        Run run = Run.of("--help");

        assertEquals(0, run.exitCode());
        Approvals.verify(run.out());
    }

    @Test
    void versionIsOneLine() {
        Run run = Run.of("--version");

        assertEquals(0, run.exitCode());
        assertTrue(run.out().matches("lavenderctl \\S.*\\R"), run.out());
    }

    @Test
    void flagOverridesEnvironmentVariable() {
        Run run = Run.with(Map.of("LAVENDERLINE_NODES", "127.0.0.1:1"), "status", "--nodes", "127.0.0.1:2");

        assertTrue(run.out().contains("127.0.0.1:2") && !run.out().contains("127.0.0.1:1 "), run.out());
    }

    @Test
    void missingFolderIsAUsageError(@TempDir Path temp) {
        assertEquals(2, Run.of("check", temp.resolve("none").toString()).exitCode());
    }
}
