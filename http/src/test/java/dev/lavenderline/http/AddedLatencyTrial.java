package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.Snapshot;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/**
 * Compares the time to the first token through the node and directly at the engine, at a constant rate with an open
 * loop: a late answer does not delay the next request. Not part of the build; run it with {@code
 * -Dtest=AddedLatencyTrial}.
 */
class AddedLatencyTrial {
    private static final int RATE = 1000;
    /** Below the measured rate, because uncompiled code cannot keep up with that. */
    private static final int WARM_UP_RATE = 200;

    private static final int WARM_UP = 20 * WARM_UP_RATE;
    private static final int MEASURED = 10 * RATE;
    private static final Buffer BODY = Buffer.buffer("{\"model\":\"" + TestFleet.ENGINES
            + "\",\"max_tokens\":4,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"the gate\"}]}");

    @Test
    void compare() throws InterruptedException {
        Vertx load = Vertx.vertx();
        HttpClientAgent client = load.createHttpClient(new PoolOptions().setHttp1MaxSize(2000));
        try (TestFleet fleet = new TestFleet()
                .engine("e1", "--step-base", "0.5", "--step-per-sequence", "0", "--max-concurrent", "256")
                .start()) {
            int direct = fleet.port("e1");
            int node = fleet.server.port();
            run(client, node, WARM_UP, WARM_UP_RATE);
            run(client, direct, WARM_UP, WARM_UP_RATE);
            for (int round = 0; round < 3; round++) {
                print("direct", run(client, direct, MEASURED, RATE));
                print("node  ", run(client, node, MEASURED, RATE));
            }
            Snapshot own = fleet.metrics.timer("http.added_latency").getSnapshot();
            System.out.printf(
                    "http.added_latency p50 %.3f ms p99 %.3f ms%n",
                    own.getMedian() / 1e6, own.get99thPercentile() / 1e6);
        } finally {
            load.close().await();
        }
    }

    private static long[] run(HttpClientAgent client, int port, int count, int rate) throws InterruptedException {
        long[] nanos = new long[count];
        AtomicInteger complete = new AtomicInteger();
        CountDownLatch open = new CountDownLatch(count);
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long due = start + i * (TimeUnit.SECONDS.toNanos(1) / rate);
            while (System.nanoTime() < due) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            int index = i;
            client.request(HttpMethod.POST, port, "127.0.0.1", "/v1/chat/completions")
                    .compose(request -> send(request, arrived -> nanos[index] = arrived - due))
                    .onComplete(answer -> {
                        if (answer.succeeded() && answer.result().toString().endsWith("data: [DONE]\n\n")) {
                            complete.incrementAndGet();
                        }
                        open.countDown();
                    });
        }
        open.await();
        assertEquals(count, complete.get());
        return nanos;
    }

    private static io.vertx.core.Future<Buffer> send(
            HttpClientRequest request, java.util.function.LongConsumer firstToken) {
        request.putHeader("Authorization", "Bearer " + TestFleet.TOKEN);
        return request.send(BODY).compose(response -> {
            io.vertx.core.Promise<Buffer> whole = io.vertx.core.Promise.promise();
            Buffer all = Buffer.buffer();
            response.handler(piece -> {
                if (all.length() == 0) {
                    firstToken.accept(System.nanoTime());
                }
                all.appendBuffer(piece);
            });
            response.exceptionHandler(whole::tryFail);
            response.endHandler(end -> whole.tryComplete(all));
            return whole.future();
        });
    }

    private static void print(String name, long[] nanos) {
        Arrays.sort(nanos);
        System.out.printf(
                "%s first token p50 %.3f ms p99 %.3f ms p99.9 %.3f ms%n",
                name,
                nanos[nanos.length / 2] / 1e6,
                nanos[nanos.length * 99 / 100] / 1e6,
                nanos[nanos.length * 999 / 1000] / 1e6);
    }
}
