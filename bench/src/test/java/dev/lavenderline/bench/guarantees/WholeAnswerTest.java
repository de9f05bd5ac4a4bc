package dev.lavenderline.bench.guarantees;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.lavenderline.bench.fleet.CallerClient;
import dev.lavenderline.bench.fleet.DeployedFleet;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

/** Guards G4: answers that are mixed up or shortened when engines fail in the middle of them. */
final class WholeAnswerTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int CALLERS = 24;
    private static final int TOKENS = 60;

    private DeployedFleet fleet;

    @BeforeEach
    void start(TestInfo test) {
        fleet = DeployedFleet.builder(
                        Path.of("target", "fleets", test.getDisplayName().replaceAll("\\W", "")))
                .engines(3)
                .nodes(2)
                .start();
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** All connections of all engines are cut in the middle of the answers, twice. */
    @Test
    void connectionsCut() {
        run(() -> {
            faultOfAllEngines("cut_streams");
            faultOfAllEngines("cut_streams");
        });
    }

    /** An engine is killed in the middle of its answers. */
    @Test
    void engineKilled() {
        run(() -> fleet.upstreams().get("engine-0").process().kill());
    }

    private void run(Runnable fault) {
        Map<Integer, String> expected = new java.util.HashMap<>();
        for (int i = 0; i < CALLERS; i++) {
            expected.put(i, ask(i).join());
        }
        List<CompletableFuture<String>> answers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            answers.add(ask(i));
        }
        fault.run();
        for (int i = 0; i < CALLERS; i++) {
            assertEquals(expected.get(i), answers.get(i).join(), "answer of caller " + i);
        }
    }

    private CompletableFuture<String> ask(int caller) {
        String url = fleet.node(caller % 2).callersUrl() + "/v1/chat/completions";
        boolean isStream = caller % 3 != 0;
        ObjectNode body = CallerClient.chat(DeployedFleet.DEPLOYMENT, "caller " + caller, TOKENS, isStream);
        return CompletableFuture.supplyAsync(
                () -> text(fleet.client().postJson(url, body, Map.of()), isStream), task -> new Thread(task).start());
    }

    private static String text(CallerClient.Answer answer, boolean isStream) {
        if (!isStream) {
            return answer.json().at("/choices/0/message/content").asText("incomplete: " + answer.body());
        }
        StringBuilder text = new StringBuilder();
        boolean[] isWhole = new boolean[1];
        Consumer<String> line = data -> {
            if (data.equals("[DONE]")) {
                isWhole[0] = true;
                return;
            }
            try {
                text.append(JSON.readTree(data).at("/choices/0/delta/content").asText(""));
            } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                throw new IllegalStateException("not JSON: " + data, e);
            }
        };
        answer.body()
                .lines()
                .filter(data -> data.startsWith("data: "))
                .map(data -> data.substring(6))
                .forEach(line);
        return isWhole[0] ? text.toString() : "incomplete: " + answer.body();
    }

    private void faultOfAllEngines(String name) {
        ObjectNode fault = JSON.createObjectNode().put(name, true);
        fleet.upstreams().values().forEach(engine -> fleet.local().fault(engine.port(), fault));
    }
}
