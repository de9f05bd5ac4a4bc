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
 * Compares the time to the first token through the node with that of direct requests to the engine, under an open-loop
 * load at a constant rate: a late response does not delay the next request. Not part of the build; run it with {@code
 * -Dtest=AddedLatencyTrial}.
 */
class AddedLatencyTrial {
    private static final int REQUESTS_PER_SECOND = 1000;

    /** Lower than the measured rate, because code that is not JIT-compiled yet cannot keep up with that. */
    private static final int WARM_UP_REQUESTS_PER_SECOND = 200;

    private static final int WARM_UP_REQUESTS = 20 * WARM_UP_REQUESTS_PER_SECOND;
    private static final int MEASURED_REQUESTS = 10 * REQUESTS_PER_SECOND;
    private static final Buffer BODY = Buffer.buffer("{\"model\":\"" + TestFleet.DEPLOYMENT
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
            run(client, node, WARM_UP_REQUESTS, WARM_UP_REQUESTS_PER_SECOND);
            run(client, direct, WARM_UP_REQUESTS, WARM_UP_REQUESTS_PER_SECOND);
            for (int round = 0; round < 3; round++) {
                print("direct", run(client, direct, MEASURED_REQUESTS, REQUESTS_PER_SECOND));
                print("node  ", run(client, node, MEASURED_REQUESTS, REQUESTS_PER_SECOND));
            }
            Snapshot addedLatency = fleet.metrics.timer("http.added_latency").getSnapshot();
            System.out.printf(
                    "http.added_latency p50 %.3f ms p99 %.3f ms%n",
                    addedLatency.getMedian() / 1e6, addedLatency.get99thPercentile() / 1e6);
        } finally {
            load.close().await();
        }
    }

    private static long[] run(HttpClientAgent client, int port, int count, int rate) throws InterruptedException {
        long[] nanos = new long[count];
        AtomicInteger complete = new AtomicInteger();
        CountDownLatch pending = new CountDownLatch(count);
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long due = start + i * (TimeUnit.SECONDS.toNanos(1) / rate);
            while (System.nanoTime() < due) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            int index = i;
            client.request(HttpMethod.POST, port, "127.0.0.1", "/v1/chat/completions")
                    .compose(request -> send(request, arrived -> nanos[index] = arrived - due))
                    .onComplete(result -> {
                        if (result.succeeded() && result.result().toString().endsWith("data: [DONE]\n\n")) {
                            complete.incrementAndGet();
                        }
                        pending.countDown();
                    });
        }
        pending.await();
        assertEquals(count, complete.get());
        return nanos;
    }

    private static io.vertx.core.Future<Buffer> send(
            HttpClientRequest request, java.util.function.LongConsumer firstToken) {
        request.putHeader("Authorization", "Bearer " + TestFleet.TOKEN);
        return request.send(BODY).compose(response -> {
            io.vertx.core.Promise<Buffer> body = io.vertx.core.Promise.promise();
            Buffer all = Buffer.buffer();
            response.handler(chunk -> {
                if (all.length() == 0) {
                    firstToken.accept(System.nanoTime());
                }
                all.appendBuffer(chunk);
            });
            response.exceptionHandler(body::tryFail);
            response.endHandler(end -> body.tryComplete(all));
            return body.future();
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
