package dev.lavenderline.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.lavenderline.bench.fleet.CallerClient;
import dev.lavenderline.bench.fleet.DeployedFleet;
import dev.lavenderline.bench.fleet.Poll;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Keeps the engines busy with batch jobs, one submitted to each node. Not thread-safe. */
final class BatchLoad {
    private final DeployedFleet fleet;
    private final CallerClient client;
    private final List<String> jobs = new ArrayList<>();

    BatchLoad(DeployedFleet fleet) {
        this.fleet = fleet;
        this.client = fleet.client();
    }

    /** Creates one job on each node and waits until each has a finished item. The label makes keys unique. */
    void start(int itemsPerJob, int tokens, String label) {
        for (int node = 0; node < fleet.nodes().size(); node++) {
            jobs.add(create(fleet.node(node).callersUrl(), itemsPerJob, tokens, label + node));
        }
        Poll.until(
                "each batch job has a finished item",
                Duration.ofSeconds(20),
                () -> jobs.stream().allMatch(job -> finishedItems(job) > 0));
    }

    private String create(String url, int items, int tokens, String label) {
        StringBuilder file = new StringBuilder();
        for (int i = 0; i < items; i++) {
            String prompt = "Write the report " + label + " " + i;
            file.append(CallerClient.batchLine(
                    "item-" + i, CallerClient.chat(DeployedFleet.DEPLOYMENT, prompt, tokens, false)));
        }
        CallerClient.Response uploaded =
                client.post(url + "/v1/files?name=bench.jsonl", "application/jsonl", file.toString(), Map.of());
        ObjectNode create = new ObjectMapper().createObjectNode();
        create.put("input_file_id", uploaded.json().path("id").asText());
        create.put("endpoint", "/v1/chat/completions").put("completion_window", "24h");
        CallerClient.Response created =
                client.postJson(url + "/v1/batches", create, Map.of("Idempotency-Key", "bench-" + label));
        if (created.status() != 200) {
            throw new IllegalStateException(
                    "batch creation failed with status " + created.status() + ": " + created.body());
        }
        return created.json().path("id").asText();
    }

    /** Returns the number of completed and failed items of all jobs. */
    int finishedItems() {
        return jobs.stream().mapToInt(this::finishedItems).sum();
    }

    private int finishedItems(String job) {
        JsonNode counts = client.get(fleet.node(0).callersUrl() + "/v1/batches/" + job)
                .json()
                .path("request_counts");
        return counts.path("completed").asInt() + counts.path("failed").asInt();
    }

    /** Cancels all jobs. */
    void stop() {
        for (String job : jobs) {
            String url = fleet.node(0).callersUrl() + "/v1/batches/" + job + "/cancel";
            client.post(url, "application/json", "", Map.of());
        }
        jobs.clear();
    }
}
