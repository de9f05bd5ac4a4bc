package dev.lavenderline.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.proto.log.RecordBatch;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a command that hangs, succeeds or returns a wrong exit code while the log is unusable. */
class LogOutageTest {
    @TempDir
    Path temp;

    private final TestLog log = new TestLog();

    @Test
    void outageExitsWith69AndReportsTheCause() {
        try (log) {
            log.faults(new JsonObject().put("outage_ms", 60_000));

            Run run = Run.of("diff", folder(), "--log-url", log.url(), "--timeout", "600ms");

            assertEquals(69, run.exitCode());
            assertTrue(run.err().contains("took longer than 600ms") && run.err().contains("status 503"), run.err());
        }
    }

    @Test
    void applySucceedsAfterAShortOutage() {
        try (log) {
            log.faults(new JsonObject().put("outage_ms", 700));

            assertEquals(0, Run.of("apply", folder(), "--log-url", log.url()).exitCode());
            assertEquals(1, log.configHistory().ledger().revision());
        }
    }

    @Test
    void unansweredAppendReportsAnUnknownOutcome() {
        try (log) {
            log.faults(new JsonObject().put("hold_appends", 100).put("hold_ms", 60_000));

            Run run = Run.of("apply", folder(), "--log-url", log.url(), "--timeout", "1s");

            assertEquals(69, run.exitCode());
            assertTrue(run.err().contains("may still take effect"), run.err());
        }
    }

    @Test
    void batchOfALaterReleaseExitsWith70() {
        try (log) {
            log.append(
                    "config",
                    RecordBatch.newBuilder()
                            .setVersion(9)
                            .setWriter("later")
                            .setSequence(1)
                            .build());

            Run run = Run.of("diff", folder(), "--log-url", log.url());

            assertEquals(70, run.exitCode());
            assertTrue(run.err().contains("unknown batch version 9"), run.err());
        }
    }

    private String folder() {
        return Folder.copyOf("quickstart", temp.resolve("fleet")).toString();
    }
}
