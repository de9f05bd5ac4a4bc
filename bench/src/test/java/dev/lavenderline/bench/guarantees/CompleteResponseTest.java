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

/** Checks guarantee G4: responses are complete and belong to their request when engines fail while generating them. */
final class CompleteResponseTest {
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

    /** All streams of all engines are cut twice while they generate responses. */
    @Test
    void streamsCut() {
        checkResponsesDuring(() -> {
            injectFaultOnAllEngines("cut_streams");
            injectFaultOnAllEngines("cut_streams");
        });
    }

    /** An engine is killed while it generates responses. */
    @Test
    void engineKilled() {
        checkResponsesDuring(() -> fleet.upstreams().get("engine-0").process().kill());
    }

    private void checkResponsesDuring(Runnable fault) {
        Map<Integer, String> expected = new java.util.HashMap<>();
        for (int i = 0; i < CALLERS; i++) {
            expected.put(i, sendRequest(i).join());
        }
        List<CompletableFuture<String>> responses = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            responses.add(sendRequest(i));
        }
        fault.run();
        for (int i = 0; i < CALLERS; i++) {
            assertEquals(expected.get(i), responses.get(i).join(), "response of caller " + i);
        }
    }

    private CompletableFuture<String> sendRequest(int caller) {
        String url = fleet.node(caller % 2).callersUrl() + "/v1/chat/completions";
        boolean isStream = caller % 3 != 0;
        ObjectNode body = CallerClient.chat(DeployedFleet.DEPLOYMENT, "caller " + caller, TOKENS, isStream);
        return CompletableFuture.supplyAsync(
                () -> contentOf(fleet.client().postJson(url, body, Map.of()), isStream),
                task -> new Thread(task).start());
    }

    private static String contentOf(CallerClient.Response response, boolean isStream) {
        if (!isStream) {
            return response.json().at("/choices/0/message/content").asText("incomplete: " + response.body());
        }
        StringBuilder text = new StringBuilder();
        boolean[] isComplete = new boolean[1];
        Consumer<String> appendEvent = data -> {
            if (data.equals("[DONE]")) {
                isComplete[0] = true;
                return;
            }
            try {
                text.append(JSON.readTree(data).at("/choices/0/delta/content").asText(""));
            } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                throw new IllegalStateException("not JSON: " + data, e);
            }
        };
        response.body()
                .lines()
                .filter(data -> data.startsWith("data: "))
                .map(data -> data.substring(6))
                .forEach(appendEvent);
        return isComplete[0] ? text.toString() : "incomplete: " + response.body();
    }

    private void injectFaultOnAllEngines(String name) {
        ObjectNode fault = JSON.createObjectNode().put(name, true);
        fleet.upstreams().values().forEach(engine -> fleet.localFleet().injectFault(engine.port(), fault));
    }
}
