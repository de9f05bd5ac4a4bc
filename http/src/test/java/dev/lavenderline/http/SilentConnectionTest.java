package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.core.config.Upstream;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Guards against requests that are lost when an established connection stops delivering data without being closed. */
class SilentConnectionTest {
    private static final HttpLimits SHORT_TIMEOUTS =
            HttpLimits.defaults().withEngineTimeouts(Duration.ofMillis(300), Duration.ofMillis(300));

    @Test
    void streamIsResumedOnANewConnection() {
        try (TestFleet fleet = new TestFleet().limits(SHORT_TIMEOUTS).engine("behind", "--step-base", "10")) {
            FreezingProxy proxy = startBehindProxy(fleet);
            CompletableFuture<HttpResponse<String>> pendingResponse =
                    fleet.sendAsync(fleet.chat("the cable", 60, true));
            fleet.awaitTokens("behind", 5);
            proxy.freeze();

            assertEquals(
                    fleet.expectedText("the cable", 60),
                    TestFleet.streamedText(pendingResponse.join().body()));
            assertEquals(1, fleet.history("behind").path("requests").size());
            assertEquals(List.of("proxied:finished"), fleet.dispatcher.outcomes);
        }
    }

    @Test
    void requestOnASilentPooledConnectionIsResentOnANewOne() {
        try (TestFleet fleet = new TestFleet().limits(SHORT_TIMEOUTS).engine("behind", "--step-base", "1")) {
            FreezingProxy proxy = startBehindProxy(fleet);
            fleet.send(fleet.chat("first", 2, false));
            proxy.freeze();
            HttpResponse<String> second = fleet.send(fleet.chat("second", 5, false));

            assertEquals(200, second.statusCode());
            assertEquals(fleet.expectedText("second", 5), TestFleet.completionText(second));
            assertEquals(2, fleet.history("behind").path("requests").size());
            assertEquals(List.of("proxied:finished", "proxied:finished"), fleet.dispatcher.outcomes);
        }
    }

    /** Puts the proxy in front of the engine, which itself gets no requests of the deployment. */
    private static FreezingProxy startBehindProxy(TestFleet fleet) {
        FreezingProxy proxy = new FreezingProxy(fleet.vertx, fleet.port("behind"));
        fleet.upstream("behind", Upstream.Kind.ENGINE, "not-deployed", fleet.port("behind"));
        fleet.upstream("proxied", Upstream.Kind.ENGINE, TestFleet.DEPLOYMENT, proxy.port());
        fleet.start();
        return proxy;
    }
}
