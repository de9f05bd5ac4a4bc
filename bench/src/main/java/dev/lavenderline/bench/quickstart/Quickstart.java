package dev.lavenderline.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.lavenderline.bench.fleet.CallerClient;
import dev.lavenderline.bench.fleet.LocalFleet;
import dev.lavenderline.bench.fleet.LocalNode;
import dev.lavenderline.bench.fleet.ManagedProcess;
import dev.lavenderline.bench.fleet.Poll;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Runs the main use case once against stand-ins: an online request and a batch job through three nodes.
 *
 * <p>Exits with 0 only if both results are as expected.
 */
public final class Quickstart {
    private static final int ITEMS = 200;
    private static final int REJECTED_ITEM = 77;
    private static final Duration JOB_TIMEOUT = Duration.ofSeconds(40);
    private static final List<String> REGIONS = List.of("north-moor", "river-vale", "south-coast");
    private static final int FIRST_ENGINE_PORT = 19101;
    private static final int ENGINES = 4;
    private static final int SERVICE_PORT = 19110;

    private final LocalFleet fleet;
    private final String configFolder;
    private final CallerClient onlineClient = new CallerClient("field-crews-token");
    private final CallerClient batchClient = new CallerClient("estate-reports-token");

    private Quickstart(LocalFleet fleet, String configFolder) {
        this.fleet = fleet;
        this.configFolder = configFolder;
    }

    /** Takes the configuration folder and the log directory as optional arguments; returns the exit code. */
    public static int run(List<String> args) {
        String folder = args.isEmpty() ? "examples/quickstart" : args.get(0);
        Path logs = Path.of(args.size() < 2 ? "run/quickstart" : args.get(1));
        try (LocalFleet fleet = LocalFleet.create(logs)) {
            new Quickstart(fleet, folder).run();
            return 0;
        } catch (IllegalStateException e) {
            System.err.println("quickstart failed: " + e.getMessage());
            return 1;
        }
    }

    private void run() {
        startFleet();
        applyConfig();
        String url = fleet.nodes().get("node-1").callersUrl();
        sendOnlineRequest(url);
        String job = createJob(url);
        // Any node can report a job, not only the one that accepted it.
        awaitJob(fleet.nodes().get("node-3").callersUrl(), job);
        printStates();
        System.out.println("quickstart done");
    }

    private void startFleet() {
        step("starting the platform, " + ENGINES + " engines, a service and 3 nodes");
        fleet.startPlatform(List.of());
        List<ManagedProcess> upstreams = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            upstreams.add(fleet.startUpstream("engine", "engine-" + (i + 1), FIRST_ENGINE_PORT + i, List.of()));
        }
        upstreams.add(fleet.startUpstream("service", "dispatch-1", SERVICE_PORT, List.of()));
        List<LocalNode> nodes = new ArrayList<>();
        for (int i = 0; i < REGIONS.size(); i++) {
            nodes.add(fleet.launchNode("node-" + (i + 1), REGIONS.get(i), REGIONS.get(i) + "-1", List.of()));
        }
        nodes.forEach(fleet::awaitAndRegister);
        upstreams.forEach(ManagedProcess::awaitReady);
    }

    private void applyConfig() {
        step("lavenderctl apply " + configFolder);
        ManagedProcess apply = fleet.start(
                "apply", "dev.lavenderline.ctl.Main", List.of("apply", configFolder, "--log-url", fleet.logUrl()));
        int code = apply.awaitExit(Duration.ofSeconds(20));
        check(code == 0, "lavenderctl apply exited with code " + code);
        Poll.until(
                "the configuration is in effect on all nodes",
                Duration.ofSeconds(17),
                () -> fleet.nodes().values().stream().allMatch(node -> node.revision() > 0 && node.isReady()));
    }

    private void sendOnlineRequest(String url) {
        step("streamed online request");
        CallerClient.Response response = onlineClient.postJson(
                url + "/v1/chat/completions",
                CallerClient.chat("repair", "The gate at the north farm does not close. What is wrong?", 24, true),
                Map.of());
        System.out.println(
                response.body().lines().filter(line -> !line.isBlank()).limit(3).toList());
        check(
                response.status() == 200,
                "the online request failed with status " + response.status() + ": " + response.body());
        check(response.body().contains("[DONE]"), "the stream did not end with [DONE]");
    }

    private String createJob(String url) {
        step("batch job of " + ITEMS + " items, item " + REJECTED_ITEM + " can never be done");
        StringBuilder file = new StringBuilder();
        for (int i = 0; i < ITEMS; i++) {
            String prompt = (i == REJECTED_ITEM ? "reject-me " : "") + "Write the report of job " + i;
            file.append(CallerClient.batchLine("report-" + i, CallerClient.chat("repair", prompt, 16, false)));
        }
        CallerClient.Response uploaded =
                batchClient.post(url + "/v1/files?name=reports.jsonl", "application/jsonl", file.toString(), Map.of());
        check(uploaded.status() == 200, "the upload failed with status " + uploaded.status() + ": " + uploaded.body());
        ObjectNode create = new ObjectMapper().createObjectNode();
        create.put("input_file_id", uploaded.json().path("id").asText());
        create.put("endpoint", "/v1/chat/completions").put("completion_window", "24h");
        CallerClient.Response created =
                batchClient.postJson(url + "/v1/batches", create, Map.of("Idempotency-Key", "quickstart-reports"));
        check(created.status() == 200, "batch creation failed with status " + created.status() + ": " + created.body());
        return created.json().path("id").asText();
    }

    private void awaitJob(String url, String job) {
        Poll.until("the batch job is completed", JOB_TIMEOUT, () -> {
            CallerClient.Response response = batchClient.get(url + "/v1/batches/" + job);
            return response.status() == 200
                    && response.json().path("status").asText().equals("completed");
        });
        JsonNode counts = batchClient.get(url + "/v1/batches/" + job).json().path("request_counts");
        System.out.println("request counts: " + counts);
        check(
                counts.path("completed").asInt() == ITEMS - 1,
                "expected " + (ITEMS - 1) + " completed items, got " + counts);
        check(counts.path("failed").asInt() == 1, "expected one failed item, got " + counts);
        CallerClient.Response output = batchClient.get(url + "/v1/files/" + job + "-output/content");
        List<String> lines = output.body().lines().toList();
        check(lines.size() == ITEMS - 1, "expected " + (ITEMS - 1) + " result lines, got " + lines.size());
        System.out.println("first result: " + lines.get(0));
        CallerClient.Response errors = batchClient.get(url + "/v1/files/" + job + "-errors/content");
        System.out.println("errors: " + errors.body().strip());
        check(
                errors.body().contains("\"report-" + REJECTED_ITEM + "\""),
                "the rejected item is missing from the error file");
    }

    private void printStates() {
        for (LocalNode node : fleet.nodes().values()) {
            JsonNode state = node.state()
                    .orElseThrow(() -> new IllegalStateException("cannot read the state of " + node.name()));
            System.out.println(state.toPrettyString());
        }
    }

    private static void step(String text) {
        System.out.println("== " + text);
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new IllegalStateException(message);
        }
    }
}
