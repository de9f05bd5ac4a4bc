package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against invalid input that reaches an engine, makes the server fail, or gets a wrong error code. */
class BadInputTest {
    private static final String CHAT = "/v1/chat/completions";
    private static final String MESSAGES = "\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]";
    private static final String MODEL = "\"model\":\"" + TestFleet.DEPLOYMENT + "\",";
    private static TestFleet fleet;

    @BeforeAll
    static void start() {
        fleet = new TestFleet()
                .limits(HttpLimits.defaults().withBodies(20_000, 30_000))
                .engine("e1", "--step-base", "1")
                .start();
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    static Stream<Arguments> bodies() {
        return Stream.of(
                Arguments.of(CHAT, "", 400, "malformed_json"),
                Arguments.of(CHAT, "{", 400, "malformed_json"),
                Arguments.of(CHAT, "[]", 400, "malformed_json"),
                Arguments.of(CHAT, "{} {}", 400, "malformed_json"),
                Arguments.of(CHAT, "{\"model\":\"a\",\"model\":\"b\"}", 400, "malformed_json"),
                Arguments.of(CHAT, "[".repeat(5000), 400, "malformed_json"),
                Arguments.of(CHAT, "{" + MODEL + "\"messages\":\"" + "x".repeat(20_000) + "\"}", 413, "too_large"),
                Arguments.of(CHAT, "{" + MESSAGES + "}", 400, "invalid_field"),
                Arguments.of(CHAT, "{\"model\":7," + MESSAGES + "}", 400, "invalid_field"),
                Arguments.of(CHAT, "{\"model\":\"absent\"," + MESSAGES + "}", 404, "model_not_found"),
                Arguments.of(CHAT, "{" + MODEL + "\"messages\":[]}", 400, "invalid_field"),
                Arguments.of(CHAT, "{" + MODEL + "\"messages\":[3]}", 400, "invalid_field"),
                Arguments.of(CHAT, "{" + MODEL + MESSAGES + ",\"max_tokens\":0}", 400, "invalid_field"),
                Arguments.of(CHAT, "{" + MODEL + MESSAGES + ",\"max_tokens\":1e99}", 400, "invalid_field"),
                Arguments.of(CHAT, "{" + MODEL + MESSAGES + ",\"stream\":\"yes\"}", 400, "invalid_field"),
                Arguments.of(CHAT, "{" + MODEL + MESSAGES + ",\"n\":2}", 400, "unsupported_field"),
                Arguments.of(CHAT, "{" + MODEL + MESSAGES + ",\"tools\":[{}]}", 400, "unsupported_field"),
                Arguments.of("/v1/completions", "{" + MODEL + "\"prompt\":[1]}", 400, "invalid_field"),
                Arguments.of("/v1/batches", "{\"input_file_id\":\"f\"}", 400, "invalid_field"),
                Arguments.of(
                        "/v1/batches",
                        "{\"input_file_id\":\"f\",\"endpoint\":\"" + CHAT + "\",\"completion_window\":\"8 years\"}",
                        400,
                        "invalid_field"),
                Arguments.of("/v1/files", "", 400, "empty_file"),
                Arguments.of("/v1/files", "x".repeat(30_001), 413, "too_large"),
                Arguments.of("/absent", "", 404, "not_found"));
    }

    @ParameterizedTest
    @MethodSource("bodies")
    void invalidBodyIsRejected(String path, String body, int status, String code) {
        HttpResponse<String> response = fleet.send(fleet.request(path)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());

        assertEquals(status, response.statusCode(), response.body());
        assertEquals(code, TestFleet.errorCode(response));
        assertEquals(0, fleet.history("e1").path("requests").size());
    }

    static Stream<Arguments> headers() {
        return Stream.of(
                Arguments.of("Authorization", "Bearer wrong", 401, "unauthorized"),
                Arguments.of("Authorization", "Bearer ", 401, "unauthorized"),
                Arguments.of("Authorization", TestFleet.TOKEN, 401, "unauthorized"),
                Arguments.of("X-Request-Deadline-Ms", "soon", 400, "invalid_header"),
                Arguments.of("X-Request-Deadline-Ms", "0", 400, "invalid_header"),
                Arguments.of("X-Padding", "x".repeat(20_000), 431, "headers_too_large"));
    }

    @ParameterizedTest
    @MethodSource("headers")
    void invalidHeaderIsRejected(String name, String value, int status, String code) {
        HttpResponse<String> response = fleet.send(fleet.request(CHAT)
                .setHeader(name, value)
                .POST(HttpRequest.BodyPublishers.ofString("{" + MODEL + MESSAGES + "}"))
                .build());

        assertEquals(status, response.statusCode(), response.body());
        assertEquals(code, TestFleet.errorCode(response));
        assertEquals(0, fleet.history("e1").path("requests").size());
    }

    @Test
    void longRequestLineIsRejected() {
        HttpResponse<String> response =
                fleet.send(fleet.request("/v1/files/" + "x".repeat(10_000)).build());

        assertEquals(414, response.statusCode());
        assertEquals("uri_too_long", TestFleet.errorCode(response));
    }

    @Test
    void fileOfAnotherWorkspaceIsNotFound() {
        HttpResponse<String> upload = fleet.send(fleet.request("/v1/files")
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build());
        String path = "/v1/files/" + TestFleet.json(upload.body()).path("id").asText();

        assertEquals(200, fleet.send(fleet.request(path).build()).statusCode());
        assertEquals(404, statusForOtherWorkspace(path));
        assertEquals(404, statusForOtherWorkspace(path + "/content"));
    }

    private static int statusForOtherWorkspace(String path) {
        return fleet.send(fleet.request(path)
                        .setHeader("Authorization", "Bearer " + TestFleet.OTHER_TOKEN)
                        .build())
                .statusCode();
    }

    @Test
    void promptRefusedByTheEngineIsNotRetried() {
        try (TestFleet twoEngines = new TestFleet().engine("e1").engine("e2").start()) {
            HttpResponse<String> response = twoEngines.send(twoEngines.chat("reject-me", 5, true));

            assertEquals(400, response.statusCode());
            assertEquals("refused_by_engine", TestFleet.errorCode(response));
            assertEquals(0, twoEngines.history("e2").path("requests").size());
        }
    }
}
