package dev.lavenderline.serving.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against requests that match the wrong route or reach the wrong service. */
class FleetConfigTest {
    private static Route route(String name, String prefix) {
        return new Route(
                name,
                "host.example",
                prefix,
                RouteKind.SAFE,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                0,
                List.of(new WeightedService("s", 1)),
                1,
                false,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ZERO,
                0,
                false);
    }

    private final FleetConfig config = new FleetConfig(
            1,
            List.of(route("short", "/a/"), route("long", "/a/b/"), route("all", "/")),
            List.of(new ServiceInfo("s", true)),
            CallerLimits.defaults());

    private String routeOf(String host, String path) {
        return config.route(host, path).map(Route::name).orElse("none");
    }

    @Test
    void longestPrefixWins() {
        assertEquals("long", routeOf("host.example", "/a/b/c"));
        assertEquals("short", routeOf("host.example", "/a/bc"));
        assertEquals("all", routeOf("host.example", "/a"));
    }

    @Test
    void hostMatchIgnoresCaseAndPort() {
        assertEquals("long", routeOf("HOST.example:8080", "/a/b/"));
        assertEquals("none", routeOf("other.example", "/a/b/"));
    }

    @Test
    void trafficSplitFollowsTheWeights() {
        List<WeightedService> services =
                List.of(new WeightedService("x", 90), new WeightedService("y", 10), new WeightedService("z", 0));
        assertEquals("x", TrafficSplit.choose(services, bound -> 89));
        assertEquals("y", TrafficSplit.choose(services, bound -> 90));
        assertEquals("y", TrafficSplit.choose(services, bound -> 99));
        assertThrows(IllegalStateException.class, () -> TrafficSplit.choose(services, bound -> bound));
    }

    @Test
    void unknownServiceHasNoModelEngines() {
        assertTrue(config.modelEngines("s"));
        assertEquals(false, config.modelEngines("t"));
    }
}
