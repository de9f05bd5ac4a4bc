package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.log.HostList.HostEntry;
import dev.lavenderline.log.HostList.HostState;
import dev.lavenderline.standins.hosts.HostListStandin;
import dev.lavenderline.standins.weights.WeightStoreStandin;
import io.vavr.control.Either;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

/** Guards against clients that throw instead of returning an error when the host list or the weight store fails. */
class HttpPlatformTest extends StandinFixture {
    @Test
    void changesOfTheHostListAreVisibleAfterTheLag() throws Exception {
        HostListStandin standin = HostListStandin.builder(vertx)
                .host("10.0.0.1:7000", "live")
                .lag(Duration.ofMillis(300))
                .build();
        int port = await(standin.start());
        HttpHostList hosts = new HttpHostList(vertx, address(port), TIMEOUT);
        List<HostEntry> before = List.of(new HostEntry("10.0.0.1:7000", HostState.LIVE));

        long start = System.nanoTime();
        post(port, "/hosts", new JsonObject().put("address", "10.0.0.1:7000").put("state", "leaving"));
        assertEquals(Either.right(before), await(hosts.hosts()));
        Awaitility.await()
                .until(
                        () -> await(hosts.hosts()).get(),
                        List.of(new HostEntry("10.0.0.1:7000", HostState.LEAVING))::equals);
        assertTrue(System.nanoTime() - start >= Duration.ofMillis(300).toNanos(), "the change was visible early");

        await(client.deleteAbs("http://127.0.0.1:" + port + "/hosts?address=10.0.0.1:7000")
                .send());
        Awaitility.await().until(() -> await(hosts.hosts()).get(), List::isEmpty);

        post(port, "/faults", new JsonObject().put("outage_ms", 60_000));
        assertTrue(await(hosts.hosts()).isLeft());
        post(port, "/faults", new JsonObject().put("outage_ms", 60_000).put("silent", true));
        assertTrue(await(hosts.hosts()).isLeft());
        await(standin.stop());
        assertTrue(await(hosts.hosts()).isLeft());
    }

    @Test
    void theWeightStoreDelaysReservationsBeyondItsRate() throws Exception {
        WeightStoreStandin standin = WeightStoreStandin.builder(vertx)
                .bytesPerSecond(1_000)
                .burstBytes(1_000)
                .build();
        int port = await(standin.start());
        HttpWeightStore store = new HttpWeightStore(vertx, address(port), TIMEOUT);

        assertEquals(Either.right(Duration.ZERO), await(store.reserve("m1", 1_000)));
        Duration wait = await(store.reserve("m2", 5_000)).get();
        assertTrue(wait.toMillis() > 3_000 && wait.toMillis() <= 5_000, "waits " + wait);

        post(port, "/faults", new JsonObject().put("outage_ms", 60_000));
        assertTrue(await(store.reserve("m3", 1)).isLeft());
    }
}
