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
 * Guards against unintended changes of responses to callers and of records on the log, by a transcript of an online
 * request, a keyed call and a batch job. Ids, times and the grouping of results into records differ between runs and
 * are left out.
 */
final class EndToEndSessionTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int ITEMS = 6;

    private final StringBuilder transcript = new StringBuilder();

    @Test
    void onlineRequestKeyedCallAndBatchJob() throws IOException {
        DeployedFleet.Builder builder = DeployedFleet.builder(Path.of("target", "fleets", "EndToEndSessionTest"))
                .engines(1)
                .services(1)
                .nodes(1);
        try (DeployedFleet fleet = builder.start()) {
            LocalNode node = fleet.node(0);
            CallerClient client = fleet.client();
            CallerClient.Response online = client.postJson(
                    node.callersUrl() + "/v1/chat/completions",
                    CallerClient.chat(DeployedFleet.DEPLOYMENT, "The gate does not close.", 8, false),
                    Map.of());
            addResponse(
                    "online request",
                    online.status(),
                    online.json().at("/choices/0/message").toString());
            for (int i = 0; i < 2; i++) {
                CallerClient.Response call = client.post(
                        node.callersUrl() + "/lockout/gate-7",
                        "application/json",
                        "{\"lock\":true}",
                        Map.of("Idempotency-Key", "lock-7"));
                addResponse(
                        "keyed call", call.status(), call.json().path("path").toString());
            }
            BatchJobClient batch = new BatchJobClient(fleet, "session");
            String job = batch.create(node, ITEMS, 4);
            Poll.until(
                    "the job is completed",
                    Duration.ofSeconds(20),
                    () -> batch.status(node).equals("completed"));
            addResults(client.get(node.callersUrl() + "/v1/files/" + job + "-output/content"));
            CallerClient.Response cancelled = batch.cancel(node);
            addResponse(
                    "cancel after the end",
                    cancelled.status(),
                    cancelled.json().path("status").toString());
            for (String stream : List.of("config", "calls", "work")) {
                addRecords(stream, LogHistory.read(fleet.localFleet(), stream));
            }
        }
        Approvals.verify(transcript.toString());
    }

    private void addResponse(String step, int status, String response) {
        transcript
                .append(step)
                .append(": ")
                .append(status)
                .append(' ')
                .append(response)
                .append('\n');
    }

    private void addResults(CallerClient.Response output) throws IOException {
        Map<String, String> byId = new TreeMap<>();
        for (String line : output.body().lines().toList()) {
            JsonNode result = JSON.readTree(line);
            byId.put(
                    result.path("custom_id").asText(),
                    result.at("/response/body/choices/0/message").toString());
        }
        byId.forEach((id, message) -> addResponse("result " + id, 200, message));
    }

    private void addRecords(String stream, List<LoggedBatch> batches) {
        int results = 0;
        for (LoggedBatch logged : batches) {
            for (Entry entry : logged.batch().getEntriesList()) {
                if (entry.hasItemsCompleted()) {
                    results += entry.getItemsCompleted().getResultsCount();
                } else {
                    transcript
                            .append("log ")
                            .append(stream)
                            .append(": ")
                            .append(entry.getBodyCase())
                            .append('\n');
                }
            }
        }
        transcript.append("log ").append(stream).append(": ").append(results).append(" results of items\n");
    }
}
