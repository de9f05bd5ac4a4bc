package dev.lavenderline.log;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.standins.log.LogStandin;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against errors of the wrong kind, above all "no effect" for an append whose outcome is unknown. */
class HttpLogServiceTest extends StandinFixture {
    private LogStandin standin;
    private int port;
    private HttpLogService log;

    @BeforeEach
    void start() throws Exception {
        standin = LogStandin.builder(vertx).appendRate(1000).build();
        port = await(standin.start());
        log = new HttpLogService(vertx, address(port), TIMEOUT);
    }

    private Either<LogError, Long> append(String text) throws Exception {
        return await(log.append("work", text.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }

    private Either<LogError, LogSlice> read(long from, Duration wait) throws Exception {
        return await(log.read("work", from, 1 << 20, wait));
    }

    private void injectFaults(JsonObject faults) throws Exception {
        post(port, "/faults", faults);
    }

    @Test
    void appendsAndReadsInOrder() throws Exception {
        assertEquals(Either.right(1L), append("a"));
        assertEquals(Either.right(2L), append("b"));

        LogSlice slice = read(1, Duration.ZERO).get();

        assertEquals(1, slice.firstOffset());
        assertEquals(3, slice.nextOffset());
        assertEquals(2, slice.records().size());
        assertArrayEquals(new byte[] {'b'}, slice.records().get(1).data());
    }

    @Test
    void aLongPollReturnsARecordThatArrivesDuringTheWait() throws Exception {
        Future<Either<LogError, LogSlice>> poll = Futures.toFuture(log.read("work", 1, 1 << 20, Duration.ofSeconds(5)));
        append("a");

        assertEquals(1, await(poll).get().records().size());
    }

    @Test
    void anEmptyLongPollEndsAfterItsWait() throws Exception {
        long start = System.nanoTime();
        LogSlice slice = read(1, Duration.ofMillis(600)).get();

        assertTrue(slice.records().isEmpty());
        assertTrue(System.nanoTime() - start >= Duration.ofMillis(600).toNanos(), "waited longer than the timeout");
    }

    @Test
    void anExpiredErrorContainsTheFirstRetainedOffset() throws Exception {
        append("a");
        append("b");
        injectFaults(new JsonObject().put("expire_before", new JsonObject().put("work", 2)));

        assertEquals(Either.left(new LogError.Expired(2)), read(1, Duration.ZERO));
    }

    @Test
    void anOutageIsUnavailable() throws Exception {
        injectFaults(new JsonObject().put("outage_ms", 60_000));

        assertInstanceOf(LogError.Unavailable.class, append("a").getLeft());
        assertInstanceOf(
                LogError.Unavailable.class, read(1, Duration.ofMillis(10)).getLeft());
    }

    @Test
    void anOutageWithoutResponsesAndALostResponseAreTimeouts() throws Exception {
        injectFaults(new JsonObject().put("drop_answers", 1));
        assertInstanceOf(LogError.TimedOut.class, append("a").getLeft());
        assertEquals(1, read(1, Duration.ZERO).get().records().size());

        injectFaults(new JsonObject().put("outage_ms", 60_000).put("silent", true));
        assertInstanceOf(LogError.TimedOut.class, append("b").getLeft());

        injectFaults(new JsonObject().put("outage_ms", 0));
        assertEquals(Either.right(2L), append("b"));
    }

    @Test
    void aRefusedConnectionIsUnavailable() throws Exception {
        await(standin.stop());

        assertInstanceOf(LogError.Unavailable.class, append("a").getLeft());
    }

    @Test
    void appendsBeyondTheRateAreOverloaded() throws Exception {
        LogStandin slow = LogStandin.builder(vertx).appendRate(1).build();
        HttpLogService client = new HttpLogService(vertx, address(await(slow.start())), TIMEOUT);

        assertTrue(await(client.append("work", new byte[1])).isRight());
        assertEquals(Either.left(new LogError.Overloaded()), await(client.append("work", new byte[1])));
    }

    @Test
    void aRecordThatIsTooLargeIsRejected() throws Exception {
        assertInstanceOf(
                LogError.Rejected.class,
                await(log.append("work", new byte[(1 << 20) + 1])).getLeft());
    }
}
