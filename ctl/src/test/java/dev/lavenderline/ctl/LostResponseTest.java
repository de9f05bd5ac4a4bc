package dev.lavenderline.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a change that is applied twice, or reported as lost, because the log's response did not arrive. */
class LostResponseTest {
    @TempDir
    Path temp;

    private final TestLog log = new TestLog();

    @Test
    void retriedAppendIsAppliedOnce() {
        Folder folder = Folder.copyOf("quickstart", temp.resolve("fleet"));
        try (log) {
            log.faults(new JsonObject().put("drop_answers", 1));

            Run run = apply(folder);

            assertEquals(0, run.exitCode(), run.err());
            assertTrue(run.out().startsWith("applied: revision 1\n"), run.out());
            Awaitility.await()
                    .atMost(Duration.ofSeconds(5))
                    .until(() -> !log.records("config").isEmpty());
            assertAppliedOnce();
            assertTrue(apply(folder).out().startsWith("no change: revision 1"));
        }
    }

    @Test
    void delayedDuplicateAppendDoesNotRevertANewerChange() {
        Folder folder = Folder.copyOf("quickstart", temp.resolve("fleet"));
        try (log) {
            log.faults(new JsonObject().put("hold_appends", 1).put("hold_ms", 4_000));
            assertEquals(0, apply(folder).exitCode());
            folder.write("90.yaml", "deployments: {repair: {online: {timeout: 43s}}}\n");
            assertEquals(0, apply(folder).exitCode());

            Awaitility.await()
                    .atMost(Duration.ofSeconds(10))
                    .until(() -> log.records("config").size() == 3);

            ConfigHistory history = log.configHistory();
            assertEquals(2, history.ledger().revision());
            assertEquals(
                    43,
                    history.ledger()
                            .config()
                            .deployments()
                            .get("repair")
                            .timeout()
                            .toSeconds());
        }
    }

    private void assertAppliedOnce() {
        List<TestLog.StoredRecord> records = log.records("config");
        assertEquals(
                1,
                records.stream()
                        .map(record -> record.batch().getWriter())
                        .distinct()
                        .count());
        assertTrue(records.stream().allMatch(record -> record.batch().getSequence() == 1));
        assertEquals(1, log.configHistory().ledger().revision());
    }

    private Run apply(Folder folder) {
        return Run.of("apply", folder.toString(), "--author", "mira", "--log-url", log.url());
    }
}
