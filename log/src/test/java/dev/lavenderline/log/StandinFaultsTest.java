package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.VertxTimers;
import dev.lavenderline.standins.log.LogStandin;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against lost or duplicate entries and hanging clients when the log has faults, over HTTP. */
class StandinFaultsTest extends StandinFixture {
    private final Context loop = vertx.getOrCreateContext();
    private final RecordingLedger ledger = new RecordingLedger();
    private final List<NetSocket> unresponsive = new CopyOnWriteArrayList<>();
    private int port;
    private LogWriter writer;
    private LogFollower follower;

    @BeforeEach
    void startLog() throws Exception {
        port = await(LogStandin.builder(vertx)
                .appendLatency(Duration.ofMillis(3))
                .readLatency(Duration.ofMillis(3))
                .build()
                .start());
    }

    private void connect(int logPort) throws Exception {
        onLoop(() -> {
            LogService log = new HttpLogService(vertx, address(logPort), TIMEOUT);
            VertxTimers timers = new VertxTimers(vertx);
            writer = LogWriter.builder(log, timers, Ticker.system()).stream("work")
                    .writer("n1")
                    .linger(Duration.ofMillis(2))
                    .build();
            follower = LogFollower.builder(log, timers, Ticker.system()).stream("work")
                    .ledger(ledger)
                    .start();
            return null;
        });
    }

    private <T> T onLoop(Supplier<T> task) throws Exception {
        Promise<T> promise = Promise.promise();
        loop.runOnContext(ignored -> promise.complete(task.get()));
        return await(promise.future());
    }

    private Either<LogError, Long> write(String value) throws Exception {
        return await(onLoop(() -> Futures.toFuture(writer.write(RecordingLedger.entry(value)))));
    }

    @Test
    void entriesAreAppliedOnceUnderEachKindOfFault() throws Exception {
        connect(port);
        List<JsonObject> faults = List.of(
                new JsonObject().put("drop_answers", 2),
                new JsonObject().put("hold_appends", 2).put("hold_ms", 700),
                new JsonObject().put("delay_ms", 600).put("for_ms", 700),
                new JsonObject().put("outage_ms", 300),
                new JsonObject().put("outage_ms", 500).put("silent", true));
        List<String> written = new ArrayList<>();
        for (JsonObject fault : faults) {
            post(port, "/faults", fault);
            for (int i = 0; i < 3; i++) {
                written.add(fault.encode() + i);
                assertTrue(write(fault.encode() + i).isRight());
            }
        }
        // The delayed duplicates are the last records; they must be dropped.
        Awaitility.await().until(() -> onLoop(ledger::values).size() >= written.size());
        JsonObject stats = await(client.getAbs(address(port) + "/stats").send()).bodyAsJsonObject();
        long next = stats.getJsonObject("streams").getJsonObject("work").getLong("next");
        assertTrue(next > written.size() + 3, "the faults left duplicates, next offset " + next);
        Awaitility.await().until(() -> onLoop(follower::position) >= next - 1);
        assertEquals(written, onLoop(ledger::values));
    }

    @Test
    void unresponsiveConnectionsAreReplaced() throws Exception {
        NetClient upstream = vertx.createNetClient();
        List<NetSocket> accepted = new CopyOnWriteArrayList<>();
        NetServer proxy = vertx.createNetServer().connectHandler(socket -> {
            accepted.add(socket);
            socket.pause();
            upstream.connect(port, "127.0.0.1").onSuccess(backend -> {
                socket.handler(data -> {
                    if (!unresponsive.contains(socket)) {
                        backend.write(data);
                    }
                });
                backend.handler(data -> {
                    if (!unresponsive.contains(socket)) {
                        socket.write(data);
                    }
                });
                socket.resume();
            });
        });
        connect(await(proxy.listen(0, "127.0.0.1")).actualPort());
        assertTrue(write("before").isRight());
        Awaitility.await().until(() -> onLoop(ledger::values), List.of("before")::equals);

        long start = System.nanoTime();
        unresponsive.addAll(accepted);
        assertTrue(write("after").isRight());
        Awaitility.await().until(() -> onLoop(ledger::values), List.of("before", "after")::equals);

        // Expected: an append timeout, or the wait of a long poll and its timeout, plus the first backoff.
        Duration took = Duration.ofNanos(System.nanoTime() - start);
        assertTrue(took.compareTo(Duration.ofSeconds(3)) < 0, "recovery took " + took);
    }
}
