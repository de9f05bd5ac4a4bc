package dev.lavenderline.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.SnapshotPart;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a change based on an empty or outdated configuration after the first records have expired. */
class SnapshotStartTest {
    @TempDir
    Path temp;

    @Test
    void applyContinuesFromASnapshot() {
        Folder folder = Folder.copyOf("quickstart", temp.resolve("fleet"));
        try (TestLog log = new TestLog()) {
            assertEquals(0, apply(log, folder).exitCode());
            ConfigHistory history = log.configHistory();
            log.append(
                    "config",
                    Entry.newBuilder()
                            .setSnapshotPart(SnapshotPart.newBuilder()
                                    .setStream("config")
                                    .setAsOf(1)
                                    .setParts(1)
                                    .setId("s")
                                    .setData(ByteString.copyFrom(history.snapshot())))
                            .build());
            log.faults(new JsonObject().put("expire_before", new JsonObject().put("config", 2)));

            assertTrue(apply(log, folder).out().startsWith("no change: revision 1"));
            Run outdated = apply(log, folder, "--base", "0");
            folder.write("90.yaml", "deployments: {repair: {online: {timeout: 44s}}}\n");
            Run run = apply(log, folder);

            assertEquals(1, outdated.exitCode());
            assertTrue(outdated.err().contains("revision 0 was replaced by revision 1 of unknown"), outdated.err());
            assertEquals(0, run.exitCode(), run.err());
            assertTrue(run.out().startsWith("applied: revision 3\n  added 90.yaml"), run.out());
        }
    }

    private static Run apply(TestLog log, Folder folder, String... extraArgs) {
        String[] args = new String[4 + extraArgs.length];
        System.arraycopy(new String[] {"apply", folder.toString(), "--log-url", log.url()}, 0, args, 0, 4);
        System.arraycopy(extraArgs, 0, args, 4, extraArgs.length);
        return Run.of(args);
    }
}
