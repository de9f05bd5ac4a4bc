package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a repeatable call that fails although another service could execute it. */
class RepeatableRouteTest {
    @Test
    void lostResponseIsRetried() {
        try (TestFleet fleet = new TestFleet().service("s1").service("s2").start()) {
            fleet.injectFault("s1", "{\"drop_answers\":1}");
            HttpResponse<String> response = fleet.send(fleet.request("/lookup/part?number=7")
                    .POST(HttpRequest.BodyPublishers.ofString("hinge"))
                    .build());

            assertEquals(200, response.statusCode());
            assertEquals(
                    "number=7", TestFleet.json(response.body()).path("query").asText());
            assertEquals("hinge", TestFleet.json(response.body()).path("body").asText());
            assertEquals(List.of("s1:BROKEN", "s2:finished"), fleet.dispatcher.outcomes);
        }
    }

    @Test
    void overloadedServiceIsRetriedOnAnother() {
        try (TestFleet fleet = new TestFleet().service("s1").service("s2").start()) {
            fleet.injectFault("s1", "{\"reject\":1}");
            HttpResponse<String> response =
                    fleet.send(fleet.request("/lookup/part").build());

            assertEquals(200, response.statusCode());
            assertEquals(List.of("s1:REJECTED", "s2:finished"), fleet.dispatcher.outcomes);
        }
    }

    @Test
    void responseOfTheOnlyOverloadedServiceIsForwarded() {
        try (TestFleet fleet = new TestFleet().service("s1").start()) {
            fleet.injectFault("s1", "{\"reject\":1}");
            HttpResponse<String> response =
                    fleet.send(fleet.request("/lookup/part").build());

            assertEquals(503, response.statusCode());
            assertEquals("overloaded", TestFleet.errorCode(response));
        }
    }

    @Test
    void multipartBodyIsForwardedUnchanged() {
        String body = "--cut\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n1\r\n--cut--\r\n";
        try (TestFleet fleet = new TestFleet().service("s1").start()) {
            HttpResponse<String> response = fleet.send(fleet.request("/lookup/photo")
                    .header("Content-Type", "multipart/form-data; boundary=cut")
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build());

            assertEquals(body, TestFleet.json(response.body()).path("body").asText());
        }
    }

    @Test
    void bearerTokenIsNotForwarded() {
        try (TestFleet fleet = new TestFleet().service("s1").start()) {
            HttpResponse<String> response =
                    fleet.send(fleet.request("/lookup/part").build());

            assertFalse(response.body().contains(TestFleet.TOKEN));
            assertEquals(
                    "req-1-1",
                    fleet.history("s1").path("runs").path(0).path("request_id").asText());
        }
    }
}
