package dev.lavenderline.http;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.TreeMap;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Guards against unintended changes of the responses that a caller gets in a typical session. */
class SessionTest {
    private static final List<String> RECORDED_HEADERS =
            List.of("content-type", "retry-after", "www-authenticate", "idempotent-replayed", "x-request-id", "allow");

    private final StringBuilder transcript = new StringBuilder();

    @Test
    void session() {
        try (TestFleet fleet =
                new TestFleet().engine("e1", "--step-base", "1").service("s1").start()) {
            record(fleet, fleet.request("/v1/models").build(), "");
            record(fleet, fleet.chat("the gate does not close", 4, false), "chat, whole");
            record(fleet, fleet.chat("the gate does not close", 4, true), "chat, streamed");
            String text = "{\"model\":\"" + TestFleet.DEPLOYMENT + "\",\"prompt\":\"fault \",\"max_tokens\":2,"
                    + "\"stream\":true,\"stream_options\":{\"include_usage\":true}}";
            post(fleet, "/v1/completions", text);
            post(fleet, "/v1/chat/completions", "{\"model\":\"absent\",\"messages\":[{\"role\":\"user\"}]}");
            record(fleet, fleet.chat("reject-me", 4, true), "a prompt that the engine refuses");
            post(fleet, "/v1/files?filename=night.jsonl", "{\"custom_id\":\"a\"}\n");
            post(
                    fleet,
                    "/v1/batches",
                    "{\"input_file_id\":\"file-1\",\"endpoint\":\"/v1/completions\",\"completion_window\":\"1d\"}");
            record(fleet, fleet.request("/v1/batches").build(), "");
            record(fleet, fleet.request("/v1/batches/job-1/results").build(), "");
            post(fleet, "/lookup/part", "hinge");
            post(fleet, "/lookup/lockout", "gate 7", "k1");
            post(fleet, "/lookup/lockout", "gate 7", "k1");
            post(fleet, "/lookup/lockout", "gate 8", "k1");
            fleet.injectFault("s1", "{\"drop_answers\":1}");
            post(fleet, "/lookup/lockout", "gate 9", "k2");
            record(
                    fleet,
                    fleet.request("/v1/models")
                            .setHeader("Authorization", "Bearer wrong")
                            .build(),
                    "wrong token");
            Approvals.verify(transcript.toString().replaceAll("\"created\":\\d+", "\"created\":0"));
        }
    }

    private void post(TestFleet fleet, String path, String body, String... key) {
        HttpRequest.Builder request = fleet.request(path).POST(HttpRequest.BodyPublishers.ofString(body));
        if (key.length > 0) {
            request.header("Idempotency-Key", key[0]);
        }
        record(fleet, request.build(), body);
    }

    private void record(TestFleet fleet, HttpRequest request, String note) {
        HttpResponse<String> response = fleet.send(request);
        String query =
                request.uri().getQuery() == null ? "" : "?" + request.uri().getQuery();
        transcript.append("> ").append(request.method()).append(' ');
        transcript.append(request.uri().getPath()).append(query).append('\n');
        if (!note.isEmpty()) {
            transcript.append("> ").append(note.strip()).append('\n');
        }
        transcript.append("< ").append(response.statusCode()).append('\n');
        new TreeMap<>(response.headers().map()).forEach((name, values) -> {
            if (RECORDED_HEADERS.contains(name)) {
                transcript
                        .append("< ")
                        .append(name)
                        .append(": ")
                        .append(String.join(", ", values))
                        .append('\n');
            }
        });
        transcript.append(response.body().strip()).append("\n\n");
    }
}
