package dev.lavenderline.ctl;

import com.google.protobuf.ByteString;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.FileChunk;
import dev.lavenderline.proto.log.FileSealed;
import dev.lavenderline.proto.log.JobCreated;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against unintended changes of the text, JSON and exit codes that operators see during a session. */
class SessionTest {
    @TempDir
    Path temp;

    private final StringBuilder transcript = new StringBuilder();
    private final Map<String, String> replacements = new LinkedHashMap<>();
    private Map<String, String> environment = Map.of();

    @Test
    void operatorSession() throws IOException {
        Folder folder = Folder.copyOf("quickstart", temp.resolve("fleet"));
        try (TestLog log = new TestLog();
                FakeNode first = new FakeNode().state(true, 3);
                FakeNode second = new FakeNode().state(false, 2)) {
            replacements.put(folder.toString(), "FLEET");
            replacements.put(log.url(), "LOG");
            replacements.put(first.address(), "127.0.0.1:17001");
            replacements.put(second.address(), "127.0.0.1:17002");
            environment = Map.of(
                    "LAVENDERLINE_LOG_URL", log.url(), "LAVENDERLINE_NODES", first.address() + "," + second.address());

            run("check", folder.toString());
            run("diff", folder.toString());
            run("apply", folder.toString(), "--author", "mira");
            run("apply", folder.toString(), "--author", "mira");
            folder.write("15-new-version.yaml", "models:\n  repair-lm:\n    versions: [\"1.0\", \"1.1\"]\n")
                    .write(
                            "20-deployments.yaml",
                            "deployments:\n  repair:\n    model: repair-lm\n    version: \"1.1\"\n")
                    .remove("60-routes.yaml");
            run("diff", folder.toString());
            run("diff", folder.toString(), "--output", "json");
            run("apply", folder.toString(), "--author", "mira", "--base", "1", "--output", "json");
            run("apply", folder.toString(), "--author", "noor", "--base", "1");
            run("apply", folder.toString(), "--author", "noor", "--base", "1", "--output", "json");
            folder.write("70-wrong.yaml", "upstreams:\n  repair-1:\n    max_concurrent: many\n    colour: blue\n");
            run("check", folder.toString());
            run("check", folder.toString(), "--output", "json");
            run("apply", folder.toString());

            run("status");
            run("status", "--output", "json");
            run("status", "--wait", "3", "--timeout", "300ms");
            second.state(true, 3);
            run("status", "--wait", "3");
            run("dump", first.address());
            run("drain", second.address());

            log.append(
                    "work",
                    entry(FileChunk.newBuilder()
                            .setFileId("f")
                            .setWorkspace("estate-reports")
                            .setItems(2)
                            .setData(ByteString.copyFromUtf8("{}\n{}\n"))),
                    Entry.newBuilder()
                            .setFileSealed(FileSealed.newBuilder()
                                    .setFileId("f")
                                    .setWorkspace("estate-reports")
                                    .setBytes(6)
                                    .setItems(2)
                                    .setChunks(1))
                            .build());
            log.append(
                    "work",
                    Entry.newBuilder()
                            .setJobCreated(JobCreated.newBuilder()
                                    .setJobId("j1")
                                    .setWorkspace("estate-reports")
                                    .setFileId("f")
                                    .setEndpoint("/v1/chat/completions")
                                    .setDeployment("repair")
                                    .setItems(2)
                                    .setDeadlineMs(System.currentTimeMillis() + 3_600_000))
                            .build());
            run("cancel", "j1", "--workspace", "field-crews");
            run("cancel", "j1", "--workspace", "estate-reports");
            run("cancel", "j1", "--workspace", "estate-reports", "--output", "json");
        }
        Approvals.verify(transcript.toString());
    }

    private static Entry entry(FileChunk.Builder chunk) {
        return Entry.newBuilder().setFileChunk(chunk).build();
    }

    private void run(String... args) {
        Run run = Run.with(environment, args);
        transcript.append("$ lavenderctl ").append(String.join(" ", args)).append('\n');
        transcript.append(run.out()).append(run.err());
        transcript.append("exit code ").append(run.exitCode()).append("\n\n");
        replacements.forEach((from, to) -> {
            String text = transcript.toString().replace(from, to);
            transcript.setLength(0);
            transcript.append(text);
        });
    }
}
