package dev.lavenderline.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.config.ConfigLedger;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against two conflicting changes that both report success, or a conflict report that lacks the winner. */
class ConcurrentApplyTest {
    @TempDir
    Path temp;

    private final TestLog log = new TestLog();

    @Test
    void oneChangeIsAcceptedAndTheOtherReportsIt() {
        Folder mira = Folder.copyOf("quickstart", temp.resolve("mira"));
        Folder noor = Folder.copyOf("quickstart", temp.resolve("noor"));
        try (log) {
            assertEquals(0, apply(mira, "setup").exitCode());
            mira.write("90.yaml", "deployments: {repair: {online: {timeout: 41s}}}\n");
            noor.write("90.yaml", "deployments: {repair: {online: {timeout: 42s}}}\n");
            // Holding the first append makes it take effect after the second one, so both are based on revision 1.
            log.faults(new JsonObject().put("hold_appends", 1).put("hold_ms", 3_000));

            CompletableFuture<Run> first = CompletableFuture.supplyAsync(() -> apply(mira, "mira"));
            CompletableFuture<Run> second = CompletableFuture.supplyAsync(() -> apply(noor, "noor"));

            List<Run> runs = List.of(first.join(), second.join());
            assertEquals(
                    List.of(0, 1), runs.stream().map(Run::exitCode).sorted().toList());
            Run rejected = runs.get(runs.get(0).exitCode() == 1 ? 0 : 1);
            String acceptedAuthor = runs.get(0).exitCode() == 0 ? "mira" : "noor";
            ConfigHistory history = log.configHistory();
            assertTrue(
                    rejected.err()
                            .contains("revision 1 was replaced by revision "
                                    + history.ledger().revision() + " of " + acceptedAuthor),
                    rejected.err());
            assertEquals(
                    acceptedAuthor.equals("mira") ? 41 : 42,
                    history.ledger()
                            .config()
                            .deployments()
                            .get("repair")
                            .timeout()
                            .toSeconds());
            Set<String> changes = log.records("config").stream()
                    .flatMap(record -> record.batch().getEntriesList().stream())
                    .map(entry -> entry.getConfigChange().getId())
                    .collect(Collectors.toSet());
            assertEquals(3, changes.size());
            assertEquals(
                    2,
                    changes.stream()
                            .filter(id -> history.ledger().outcome(id) == ConfigLedger.Outcome.ACCEPTED)
                            .count(),
                    "only the setup and one of the two changes are accepted");
        }
    }

    private Run apply(Folder folder, String author) {
        return Run.of("apply", folder.toString(), "--author", author, "--log-url", log.url());
    }
}
