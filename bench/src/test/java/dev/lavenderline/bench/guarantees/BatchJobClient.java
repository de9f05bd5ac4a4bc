package dev.lavenderline.bench.guarantees;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.lavenderline.bench.fleet.CallerClient;
import dev.lavenderline.bench.fleet.DeployedFleet;
import dev.lavenderline.bench.fleet.LocalNode;
import dev.lavenderline.bench.fleet.Poll;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Creates one batch job and reads or cancels it through any node. Not thread-safe. */
final class BatchJobClient {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final DeployedFleet fleet;
    private final CallerClient client;
    private final String key;
    private String job = "";

    BatchJobClient(DeployedFleet fleet, String key) {
        this.fleet = fleet;
        this.client = fleet.client();
        this.key = key;
    }

    /** Uploads a file and creates the job on a node. A second call repeats both, like a client that retries. */
    String create(LocalNode node, int items, int tokens) {
        CallerClient.Response response = tryCreate(node, items, tokens);
        if (response.status() != 200) {
            throw new IllegalStateException(
                    "batch creation failed with status " + response.status() + ": " + response.body());
        }
        job = response.json().path("id").asText();
        return job;
    }

    /** Like {@link #create}, but returns the response, whatever its status. */
    CallerClient.Response tryCreate(LocalNode node, int items, int tokens) {
        StringBuilder file = new StringBuilder();
        for (int i = 0; i < items; i++) {
            String prompt = "Report " + key + " " + i;
            file.append(CallerClient.batchLine(
                    "item-" + i, CallerClient.chat(DeployedFleet.DEPLOYMENT, prompt, tokens, false)));
        }
        CallerClient.Response uploaded = client.post(
                node.callersUrl() + "/v1/files?name=test.jsonl", "application/jsonl", file.toString(), Map.of());
        if (uploaded.status() != 200) {
            return uploaded;
        }
        ObjectNode create = JSON.createObjectNode();
        create.put("input_file_id", uploaded.json().path("id").asText());
        create.put("endpoint", "/v1/chat/completions").put("completion_window", "1h");
        return client.postJson(node.callersUrl() + "/v1/batches", create, Map.of("Idempotency-Key", key));
    }

    /** Returns the number of completed and failed items that a node reports, or -1 if it does not report the job. */
    int finishedItems(LocalNode node) {
        CallerClient.Response response = client.get(node.callersUrl() + "/v1/batches/" + job);
        if (response.status() != 200) {
            return -1;
        }
        JsonNode counts = response.json().path("request_counts");
        return counts.path("completed").asInt() + counts.path("failed").asInt();
    }

    String status(LocalNode node) {
        return client.get(node.callersUrl() + "/v1/batches/" + job)
                .json()
                .path("status")
                .asText();
    }

    CallerClient.Response cancel(LocalNode node) {
        return client.post(node.callersUrl() + "/v1/batches/" + job + "/cancel", "application/json", "", Map.of());
    }

    /** Waits until a node has claimed the job and returns the node. */
    LocalNode awaitHolder() {
        Poll.until("a node has claimed the job", Duration.ofSeconds(15), () -> holder().isPresent());
        return holder().orElseThrow();
    }

    private Optional<LocalNode> holder() {
        for (LocalNode node : fleet.nodes()) {
            boolean holds = node.state().stream()
                    .flatMap(state -> stream(state.at("/supervisor/children/jobs/owned")))
                    .anyMatch(owned -> owned.path("id").asText().equals(job));
            if (holds) {
                return Optional.of(node);
            }
        }
        return Optional.empty();
    }

    private static java.util.stream.Stream<JsonNode> stream(JsonNode array) {
        return java.util.stream.StreamSupport.stream(array.spliterator(), false);
    }

    /** Returns the custom ids in the output file and the error file. */
    List<String> readCustomIds(LocalNode node) {
        List<String> ids = new ArrayList<>();
        for (String kind : List.of("-output", "-errors")) {
            CallerClient.Response response = client.get(node.callersUrl() + "/v1/files/" + job + kind + "/content");
            for (String line : response.body().lines().toList()) {
                try {
                    ids.add(JSON.readTree(line).path("custom_id").asText());
                } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                    throw new IllegalStateException("result line is not JSON: " + line, e);
                }
            }
        }
        return ids;
    }
}
