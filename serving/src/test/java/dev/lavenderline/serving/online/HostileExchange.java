package dev.lavenderline.serving.online;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.TestWireFormat;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.online.HostileUpstream.Extra;
import dev.lavenderline.serving.online.HostileUpstream.Fault;
import dev.lavenderline.serving.online.HostileUpstream.Framing;
import dev.lavenderline.serving.online.HostileUpstream.Kind;
import dev.lavenderline.serving.online.HostileUpstream.Owner;
import dev.lavenderline.serving.online.HostileUpstream.Plan;
import dev.lavenderline.serving.upstreams.Upstream;
import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends requests to an upstream that breaks the protocol and judges what the listener receives: the whole own response,
 * a failure, or a cut one; never another one's bytes, never complete if it is not, and always an end. Thread-safe.
 */
final class HostileExchange implements AutoCloseable {
    /** Time in which a response must have ended. */
    static final Duration LIMIT = Duration.ofSeconds(5);

    /** Bytes at which a listener gives up, as those of the product do. */
    private static final int MAX_BODY_BYTES = 1024 * 1024;

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final UpstreamConnections connections = new UpstreamConnections(vertx, Ticker.system(), EventLog.NONE);
    private final HostileUpstream upstream = new HostileUpstream(vertx);
    private final Upstream entry = new Upstream("i", "s", "127.0.0.1", upstream.port, "a", 8, false, "v1");
    private final AtomicLong nextId = new AtomicLong();

    /**
     * What a listener received.
     *
     * @param body the body of a complete response, empty for a failure
     */
    record Received(Optional<String> body, String failure) {}

    /** Sends a request, and again under its id if the plan says so, and judges what is received. */
    Received send(Plan plan) throws Exception {
        String id = "r" + nextId.incrementAndGet();
        upstream.plan(id, plan);
        Received result = send(plan, id);
        if (plan.extra().again()) {
            Plan sound = new Plan(plan.framing(), Fault.NONE, plan.bodyLength(), 0, plan.pieces());
            upstream.plan(id, sound);
            send(sound, id);
        }
        return result;
    }

    private Received send(Plan plan, String id) throws Exception {
        CompletableFuture<Received> received = new CompletableFuture<>();
        context.runOnContext(now -> {
            Buffer body = Buffer.buffer();
            UpstreamExchange[] exchange = new UpstreamExchange[1];
            exchange[0] = connections.send(
                    entry,
                    new UpstreamRequest(id, HttpMethod.POST, "/p", headers(id), Buffer.buffer("body")),
                    new TestWireFormat(),
                    new ResponseListener() {
                        @Override
                        public void headers(int status, MultiMap responseHeaders) {
                            if (status != 200) {
                                received.complete(new Received(Optional.of("status " + status), ""));
                            }
                        }

                        @Override
                        public void chunk(Buffer chunk) {
                            body.appendBuffer(chunk);
                            if (body.length() > MAX_BODY_BYTES) {
                                exchange[0].cancel();
                                received.complete(new Received(Optional.empty(), "too long"));
                            }
                        }

                        @Override
                        public void end() {
                            received.complete(new Received(Optional.of(body.toString()), ""));
                        }

                        @Override
                        public void failed(SendFailure failure, String message) {
                            received.complete(new Received(Optional.empty(), failure.name()));
                        }
                    });
            // The product cancels a request at its deadline.
            vertx.setTimer(LIMIT.toMillis() / 5, late -> {
                if (!received.isDone()) {
                    exchange[0].cancel();
                    received.complete(new Received(Optional.empty(), "deadline"));
                }
            });
        });
        Received result = received.get(LIMIT.toSeconds(), TimeUnit.SECONDS);
        judge(plan, id, result);
        return result;
    }

    private static MultiMap headers(String id) {
        return MultiMap.caseInsensitiveMultiMap().add("id", id);
    }

    /** Fails if a response is taken for complete that is not, or belongs to another request. */
    static void judge(Plan plan, String id, Received received) {
        boolean rejected =
                List.of(Fault.REJECTION_THEN_EXTRA, Fault.ENDLESS_REJECTION).contains(plan.fault());
        if (received.body().isEmpty()) {
            boolean notRun = List.of("NOT_EXECUTED", "OTHER_INSTANCE").contains(received.failure());
            assertTrue(!notRun || rejected, () -> received.failure() + " despite " + plan);
            return;
        }
        assertFalse(rejected, () -> "complete despite " + plan);
        String whole = HostileUpstream.body(id, plan.bodyLength());
        String body = received.body().get();
        if (plan.framing() == Framing.CLOSE && plan.fault() == Fault.CUT) {
            assertTrue(whole.startsWith(body), () -> "bytes of another response: " + body);
            return;
        }
        if (plan.framing() == Framing.CLOSE
                && List.of(Fault.EXTRA_BEHIND, Fault.EXTRA_LATE).contains(plan.fault())
                && !recognizable(plan)) {
            assertTrue(body.startsWith(whole), () -> "bytes of another response: " + body);
            return;
        }
        if (List.of(Fault.EXTRA_BEFORE_BODY, Fault.EXTRA_IN_BODY).contains(plan.fault()) && !recognizable(plan)) {
            // The bytes of the other response belong to the body, of which a length may cut off the rest.
            int own = plan.fault() == Fault.EXTRA_BEFORE_BODY ? 0 : plan.extraAt();
            assertTrue(body.startsWith(whole.substring(0, own)), () -> "bytes of another response: " + body);
            return;
        }
        assertEquals(whole, body);
        assertFalse(
                List.of(Fault.CUT, Fault.WRONG_ID, Fault.NO_ID, Fault.GARBAGE_BEFORE_HEAD)
                        .contains(plan.fault()),
                () -> "complete despite " + plan);
        assertFalse(plan.fault() == Fault.COPY && plan.framing() == Framing.CLOSE, () -> "complete despite " + plan);
        assertFalse(plan.endless(), () -> "complete despite " + plan);
    }

    /**
     * Returns whether the head of the other response within the body shows that it belongs to another one: it has the
     * id of a request on the connection or rejects a request, and is not cut off by the body's length.
     */
    private static boolean recognizable(Plan plan) {
        Extra extra = plan.extra();
        boolean named = extra.owner() == Owner.CARRIED
                || (extra.owner() == Owner.NONE
                        && List.of(Kind.REJECTION, Kind.MISDIRECTED).contains(extra.kind()));
        int at = plan.fault() == Fault.EXTRA_BEFORE_BODY ? 0 : plan.extraAt();
        // The response ends with a body of five bytes.
        int headEnd = at + extra.bytes("r" + Long.MAX_VALUE).length() - 5;
        return named && (plan.framing() != Framing.LENGTH || headEnd <= plan.bodyLength());
    }

    /** Returns whether the connections on which bytes arrived without end are closed. */
    boolean endlessConnectionsClosed() {
        context.runOnContext(now -> connections.closeExpired());
        return upstream.endlessInProgress.get() == 0;
    }

    @Override
    public void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
