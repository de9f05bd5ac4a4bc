package dev.lavenderline.bench.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A node process and its addresses. Its ready line has the form {@code callers=PORT operators=PORT peers=PORT}.
 *
 * <p>Not thread-safe.
 */
public final class LocalNode {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String name;
    private final ManagedProcess process;
    private final HttpClient http;
    private Map<String, String> addresses = Map.of();

    LocalNode(String name, ManagedProcess process, HttpClient http) {
        this.name = name;
        this.process = process;
        this.http = http;
    }

    void awaitListening() {
        Map<String, String> parsed = new HashMap<>();
        for (String field : process.awaitReady().trim().split(" ")) {
            int equals = field.indexOf('=');
            parsed.put(field.substring(0, equals), field.substring(equals + 1));
        }
        addresses = Map.copyOf(parsed);
    }

    public String name() {
        return name;
    }

    public ManagedProcess process() {
        return process;
    }

    /** Returns the base URL for callers. */
    public String callersUrl() {
        return "http://127.0.0.1:" + addresses.get("callers");
    }

    /** Returns the address for operators, {@code 127.0.0.1:PORT}. */
    public String operatorsAddress() {
        return "127.0.0.1:" + addresses.get("operators");
    }

    /** Returns the address for peers, {@code 127.0.0.1:PORT}. */
    public String peersAddress() {
        return "127.0.0.1:" + addresses.get("peers");
    }

    /** Returns the state dump, or empty if the node does not respond. */
    public Optional<JsonNode> state() {
        try {
            HttpResponse<String> response = http.send(
                    HttpRequest.newBuilder(URI.create("http://" + operatorsAddress() + "/state"))
                            .timeout(Duration.ofSeconds(2))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            return Optional.of(JSON.readTree(response.body()));
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /** Returns whether the node reports that it is ready. */
    public boolean isReady() {
        return state().map(state -> state.path("ready").asBoolean()).orElse(false);
    }

    /** Returns the configuration revision in effect on the node, or -1 if it does not respond. */
    public long revision() {
        return state().map(state -> state.path("config").path("revision").asLong(-1))
                .orElse(-1L);
    }
}
