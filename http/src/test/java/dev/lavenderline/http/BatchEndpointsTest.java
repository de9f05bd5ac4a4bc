package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against uploads whose content is altered, and against jobs that callers cannot list, cancel or read. */
class BatchEndpointsTest {
    private static final String CONTENT = "{\"custom_id\":\"ä\"}\n{\"custom_id\":\"b\"}\n";
    private TestFleet fleet;

    @BeforeEach
    void start() {
        fleet = new TestFleet().start();
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void rawUploadIsReadBackUnchanged() {
        HttpResponse<String> upload = fleet.send(fleet.request("/v1/files?filename=jobs.jsonl")
                .POST(HttpRequest.BodyPublishers.ofString(CONTENT))
                .build());

        assertEquals(
                "jobs.jsonl", TestFleet.json(upload.body()).path("filename").asText());
        assertEquals(CONTENT, downloadContent(upload));
    }

    @Test
    void multipartUploadIsReadBackUnchanged() {
        String body = "--cut\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n"
                + "--cut\r\nContent-Disposition: form-data; name=\"file\"; filename=\"night.jsonl\"\r\n"
                + "Content-Type: application/jsonl\r\n\r\n" + CONTENT + "\r\n--cut--\r\n";
        HttpResponse<String> upload = fleet.send(fleet.request("/v1/files")
                .header("Content-Type", "multipart/form-data; boundary=cut")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());

        assertEquals(
                "night.jsonl", TestFleet.json(upload.body()).path("filename").asText());
        assertEquals(CONTENT, downloadContent(upload));
    }

    private String downloadContent(HttpResponse<String> upload) {
        String id = TestFleet.json(upload.body()).path("id").asText();
        return fleet.send(fleet.request("/v1/files/" + id + "/content").build()).body();
    }

    @Test
    void jobCanBeCreatedListedCancelledAndRead() {
        HttpResponse<String> created = fleet.send(fleet.request("/v1/batches")
                .header("Idempotency-Key", "night-1")
                .POST(HttpRequest.BodyPublishers.ofString(
                        "{\"input_file_id\":\"file-1\",\"endpoint\":\"/v1/chat/completions\","
                                + "\"completion_window\":\"8h\",\"metadata\":{\"shift\":\"morning\"}}"))
                .build());

        assertEquals("job-night-1", TestFleet.json(created.body()).path("id").asText());
        assertEquals(
                1 + 8 * 3600, TestFleet.json(created.body()).path("expires_at").asInt());
        assertEquals(created.body(), get("/v1/batches/job-night-1").body());
        assertEquals(
                1,
                TestFleet.json(get("/v1/batches?limit=5").body()).path("data").size());
        assertEquals(
                200,
                fleet.send(fleet.request("/v1/batches/job-night-1/cancel")
                                .POST(HttpRequest.BodyPublishers.noBody())
                                .build())
                        .statusCode());
        assertEquals(
                "{\"custom_id\":\"a\"}\n",
                get("/v1/batches/job-night-1/results").body());
        assertEquals(400, get("/v1/batches?limit=0").statusCode());
        assertEquals(404, get("/v1/batches/absent/results").statusCode());
    }

    private HttpResponse<String> get(String path) {
        return fleet.send(fleet.request(path).build());
    }
}
