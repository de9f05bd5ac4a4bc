package dev.lavenderline.bench.guarantees;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.lavenderline.bench.fleet.CallerClient;
import dev.lavenderline.bench.fleet.DeployedFleet;
import dev.lavenderline.bench.fleet.LocalNode;
import dev.lavenderline.bench.fleet.Poll;
import dev.lavenderline.bench.history.LogHistory;
import dev.lavenderline.bench.history.LoggedBatch;
import dev.lavenderline.proto.log.Entry;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/**
 * Guards against unintended changes of what callers and the log see in one whole session: requests, answers and records.
 * Ids, times and the grouping of results into records differ between runs and are left out.
 */
final class WholeSessionTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int ITEMS = 6;

    private final StringBuilder session = new StringBuilder();

    @Test
    void onlineRequestKeyedCallAndBatchJob() throws IOException {
        DeployedFleet.Builder builder = DeployedFleet.builder(Path.of("target", "fleets", "WholeSessionTest"))
                .engines(1)
                .services(1)
                .nodes(1);
        try (DeployedFleet fleet = builder.start()) {
            LocalNode node = fleet.node(0);
            CallerClient client = fleet.client();
            CallerClient.Answer online = client.postJson(
                    node.callersUrl() + "/v1/chat/completions",
                    CallerClient.chat(DeployedFleet.DEPLOYMENT, "The gate does not close.", 8, false),
                    Map.of());
            add(
                    "online request",
                    online.status(),
                    online.json().at("/choices/0/message").toString());
            for (int i = 0; i < 2; i++) {
                CallerClient.Answer call = client.post(
                        node.callersUrl() + "/lockout/gate-7",
                        "application/json",
                        "{\"lock\":true}",
                        Map.of("Idempotency-Key", "lock-7"));
                add("keyed call", call.status(), call.json().path("path").toString());
            }
            BatchSession batch = new BatchSession(fleet, "session");
            String job = batch.create(node, ITEMS, 4);
            Poll.until(
                    "the job is completed",
                    Duration.ofSeconds(20),
                    () -> batch.status(node).equals("completed"));
            addResults(client.get(node.callersUrl() + "/v1/files/" + job + "-output/content"));
            CallerClient.Answer cancelled = batch.cancel(node);
            add(
                    "cancel after the end",
                    cancelled.status(),
                    cancelled.json().path("status").toString());
            for (String stream : List.of("config", "calls", "work")) {
                addRecords(stream, LogHistory.read(fleet.local(), stream));
            }
        }
        Approvals.verify(session.toString());
    }

    private void add(String what, int status, String answer) {
        session.append(what)
                .append(": ")
                .append(status)
                .append(' ')
                .append(answer)
                .append('\n');
    }

    private void addResults(CallerClient.Answer output) throws IOException {
        Map<String, String> byId = new TreeMap<>();
        for (String line : output.body().lines().toList()) {
            JsonNode result = JSON.readTree(line);
            byId.put(
                    result.path("custom_id").asText(),
                    result.at("/response/body/choices/0/message").toString());
        }
        byId.forEach((id, message) -> add("result " + id, 200, message));
    }

    private void addRecords(String stream, List<LoggedBatch> batches) {
        int results = 0;
        for (LoggedBatch logged : batches) {
            for (Entry entry : logged.batch().getEntriesList()) {
                if (entry.hasItemsCompleted()) {
                    results += entry.getItemsCompleted().getResultsCount();
                } else {
                    session.append("log ")
                            .append(stream)
                            .append(": ")
                            .append(entry.getBodyCase())
                            .append('\n');
                }
            }
        }
        session.append("log ").append(stream).append(": ").append(results).append(" results of items\n");
    }
}
