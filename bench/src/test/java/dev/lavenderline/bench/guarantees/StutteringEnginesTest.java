package dev.lavenderline.bench.guarantees;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.lavenderline.bench.fleet.CallerClient;
import dev.lavenderline.bench.fleet.DeployedFleet;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Checks guarantee G4 with engines that write a second copy of each response on the same connection. */
final class StutteringEnginesTest {
    private static final int CALLERS = 12;
    private static final int ROUNDS = 6;
    private static final int TOKENS = 10;

    private static String prompt(int caller, int round) {
        return "caller " + caller + " round " + round;
    }

    private static CompletableFuture<String> send(DeployedFleet fleet, int caller, int round) {
        String url = fleet.node(caller % 2).callersUrl() + "/v1/chat/completions";
        ObjectNode body = CallerClient.chat(DeployedFleet.DEPLOYMENT, prompt(caller, round), TOKENS, false);
        return CompletableFuture.supplyAsync(
                () -> {
                    CallerClient.Response response = fleet.client().postJson(url, body, Map.of());
                    return response.json().at("/choices/0/message/content").asText("error: " + response.body());
                },
                task -> new Thread(task).start());
    }

    private static List<String> contents(String name, String... engineOptions) {
        try (DeployedFleet fleet = DeployedFleet.builder(Path.of("target", "fleets", name))
                .engines(3, engineOptions)
                .nodes(2)
                .start()) {
            List<String> contents = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                List<CompletableFuture<String>> responses = new ArrayList<>();
                for (int caller = 0; caller < CALLERS; caller++) {
                    responses.add(send(fleet, caller, round));
                }
                responses.forEach(response -> contents.add(response.join()));
            }
            return contents;
        }
    }

    @Test
    void callersGetTheirOwnResponses() {
        assertEquals(contents("sound"), contents("stuttering", "--stutter", "before-next"));
    }
}
