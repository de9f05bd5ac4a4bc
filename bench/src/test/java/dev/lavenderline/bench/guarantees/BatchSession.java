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

/** A caller that creates one batch job and reads it through any node. */
final class BatchSession {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final DeployedFleet fleet;
    private final CallerClient client;
    private final String key;
    private String job = "";

    BatchSession(DeployedFleet fleet, String key) {
        this.fleet = fleet;
        this.client = fleet.client();
        this.key = key;
    }

    /** Uploads a file and creates the job on a node; a second call is a client that sends the whole job again. */
    String create(LocalNode node, int items, int tokens) {
        CallerClient.Answer answer = tryCreate(node, items, tokens);
        if (answer.status() != 200) {
            throw new IllegalStateException("creating gave " + answer.status() + ": " + answer.body());
        }
        job = answer.json().path("id").asText();
        return job;
    }

    CallerClient.Answer tryCreate(LocalNode node, int items, int tokens) {
        StringBuilder file = new StringBuilder();
        for (int i = 0; i < items; i++) {
            String prompt = "Report " + key + " " + i;
            file.append(CallerClient.batchLine(
                    "item-" + i, CallerClient.chat(DeployedFleet.DEPLOYMENT, prompt, tokens, false)));
        }
        CallerClient.Answer uploaded = client.post(
                node.callersUrl() + "/v1/files?name=test.jsonl", "application/jsonl", file.toString(), Map.of());
        if (uploaded.status() != 200) {
            return uploaded;
        }
        ObjectNode create = JSON.createObjectNode();
        create.put("input_file_id", uploaded.json().path("id").asText());
        create.put("endpoint", "/v1/chat/completions").put("completion_window", "1h");
        return client.postJson(node.callersUrl() + "/v1/batches", create, Map.of("Idempotency-Key", key));
    }

    /** Returns the number of items with a result as a node knows it, -1 if it does not answer with the job. */
    int done(LocalNode node) {
        CallerClient.Answer answer = client.get(node.callersUrl() + "/v1/batches/" + job);
        if (answer.status() != 200) {
            return -1;
        }
        JsonNode counts = answer.json().path("request_counts");
        return counts.path("completed").asInt() + counts.path("failed").asInt();
    }

    String status(LocalNode node) {
        return client.get(node.callersUrl() + "/v1/batches/" + job)
                .json()
                .path("status")
                .asText();
    }

    CallerClient.Answer cancel(LocalNode node) {
        return client.post(node.callersUrl() + "/v1/batches/" + job + "/cancel", "application/json", "", Map.of());
    }

    /** Returns the node that holds the job. */
    LocalNode awaitHolder() {
        Poll.until("a node holds the job", Duration.ofSeconds(15), () -> holder().isPresent());
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

    /** Reads the custom ids of all results, output and errors together. */
    List<String> readCustomIds(LocalNode node) {
        List<String> ids = new ArrayList<>();
        for (String kind : List.of("-output", "-errors")) {
            CallerClient.Answer answer = client.get(node.callersUrl() + "/v1/files/" + job + kind + "/content");
            for (String line : answer.body().lines().toList()) {
                try {
                    ids.add(JSON.readTree(line).path("custom_id").asText());
                } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                    throw new IllegalStateException("not a result line: " + line, e);
                }
            }
        }
        return ids;
    }
}
