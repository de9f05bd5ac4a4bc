package dev.lavenderline.bench.load;

import dev.lavenderline.bench.fleet.CallerClient;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/**
 * Sends planned requests to nodes in turn without waiting for answers (open loop).
 *
 * <p>Everything runs on one event loop; {@link #run} may be called from any other thread, one at a time.
 */
public final class LoadGenerator implements AutoCloseable {
    private static final Duration GRACE = Duration.ofSeconds(30);

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Context context = vertx.getOrCreateContext();
    private final String token;
    private final String model;
    private HttpClient client;

    public LoadGenerator(String token, String model) {
        this.token = token;
        this.model = model;
    }

    /**
     * Runs a plan and waits for its answers.
     *
     * @param urls gives the base URLs of the nodes that take requests now, as a load balancer knows them
     * @param stopLong whether stragglers are given up by the caller when all other requests have ended
     */
    public LoadResult run(LoadPlan plan, Supplier<List<String>> urls, boolean stopLong) {
        CompletableFuture<LoadResult> done = new CompletableFuture<>();
        context.runOnContext(ignored -> new Run(plan, urls, stopLong, done).start());
        Duration limit = GRACE;
        if (!plan.requests().isEmpty()) {
            limit = GRACE.plus(plan.requests().get(plan.requests().size() - 1).at());
        }
        try {
            return done.get(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted during a load", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the load did not end within " + limit, e);
        }
    }

    @Override
    public void close() {
        vertx.close();
    }

    private HttpClient client() {
        if (client == null) {
            client = vertx.createHttpClient(
                    new HttpClientOptions().setKeepAliveTimeout(5).setTcpNoDelay(true),
                    new PoolOptions().setHttp1MaxSize(4096));
        }
        return client;
    }

    private final class Run {
        private final LoadPlan plan;
        private final Supplier<List<String>> urls;
        private final boolean stopLong;
        private final CompletableFuture<LoadResult> done;
        private final LoadResult result = new LoadResult();
        private final java.util.Set<Exchange> open = new java.util.HashSet<>();
        private long startNanos;
        private int next;
        private int openShort;
        private boolean stopped;

        private Run(LoadPlan plan, Supplier<List<String>> urls, boolean stopLong, CompletableFuture<LoadResult> done) {
            this.plan = plan;
            this.urls = urls;
            this.stopLong = stopLong;
            this.done = done;
        }

        private void start() {
            startNanos = System.nanoTime();
            sendDue();
        }

        private void sendDue() {
            long elapsed = System.nanoTime() - startNanos;
            while (next < plan.requests().size()
                    && plan.requests().get(next).at().toNanos() <= elapsed) {
                List<String> now = urls.get();
                send(plan.requests().get(next), now.get(next % now.size()));
                next++;
            }
            if (next < plan.requests().size()) {
                vertx.setTimer(1, timer -> sendDue());
            } else {
                checkDone();
            }
        }

        private void send(LoadPlan.Request request, String url) {
            Exchange exchange =
                    new Exchange(this, request, startNanos + request.at().toNanos());
            open.add(exchange);
            openShort += request.isLong() ? 0 : 1;
            result.sent();
            RequestOptions options = new RequestOptions()
                    .setMethod(HttpMethod.POST)
                    .setAbsoluteURI(url + "/v1/chat/completions")
                    .putHeader("Authorization", "Bearer " + token)
                    .putHeader("Content-Type", "application/json");
            Buffer body = Buffer.buffer(CallerClient.chat(model, request.prompt(), request.maxTokens(), true)
                    .toString());
            client().request(options)
                    .onSuccess(sending -> exchange.abort = sending::reset)
                    .compose(sending -> sending.send(body))
                    .onSuccess(exchange::answered)
                    .onFailure(failure -> exchange.end(Outcome.FAILED));
        }

        private void ended(Exchange exchange) {
            if (!open.remove(exchange)) {
                return;
            }
            openShort -= exchange.request.isLong() ? 0 : 1;
            checkDone();
        }

        private void checkDone() {
            if (next < plan.requests().size() || stopped) {
                return;
            }
            if (open.isEmpty()) {
                stopped = true;
                done.complete(result);
            } else if (stopLong && openShort == 0) {
                stopped = true;
                List.copyOf(open).forEach(Exchange::giveUp);
                done.complete(result);
            }
        }
    }

    private enum Outcome {
        WHOLE,
        REFUSED,
        FAILED,
        GIVEN_UP
    }

    private static final class Exchange {
        private static final String DONE = "data: [DONE]";

        private final Run run;
        private final LoadPlan.Request request;
        private final long plannedNanos;
        private final StringBuilder tail = new StringBuilder();
        private Runnable abort = () -> {};
        private long lastTokenNanos;
        private int tokens;
        private boolean isWhole;
        private boolean ended;

        private Exchange(Run run, LoadPlan.Request request, long plannedNanos) {
            this.run = run;
            this.request = request;
            this.plannedNanos = plannedNanos;
        }

        private void answered(HttpClientResponse response) {
            if (response.statusCode() != 200) {
                boolean isRefusal = response.statusCode() == 429 || response.statusCode() == 503;
                response.end().onComplete(read -> end(isRefusal ? Outcome.REFUSED : Outcome.FAILED));
                return;
            }
            response.handler(this::data);
            response.exceptionHandler(failure -> end(Outcome.FAILED));
            response.endHandler(read -> end(isWhole ? Outcome.WHOLE : Outcome.FAILED));
        }

        private void data(Buffer buffer) {
            tail.append(buffer.toString(StandardCharsets.UTF_8));
            int lineStart = 0;
            for (int lineEnd = tail.indexOf("\n"); lineEnd >= 0; lineEnd = tail.indexOf("\n", lineStart)) {
                line(tail.substring(lineStart, lineEnd));
                lineStart = lineEnd + 1;
            }
            tail.delete(0, lineStart);
        }

        private void line(String line) {
            if (line.startsWith(DONE)) {
                isWhole = true;
            } else if (line.startsWith("data: ") && line.contains("\"content\"")) {
                token();
            }
        }

        private void token() {
            long now = System.nanoTime();
            tokens++;
            if (tokens == 1) {
                run.result.firstToken(Duration.ofNanos(now - plannedNanos), request.isLong());
            } else {
                run.result.interval(Duration.ofNanos(now - lastTokenNanos));
            }
            lastTokenNanos = now;
        }

        private void giveUp() {
            end(Outcome.GIVEN_UP);
            abort.run();
        }

        private void end(Outcome outcome) {
            if (ended) {
                return;
            }
            ended = true;
            switch (outcome) {
                case WHOLE -> run.result.whole(Duration.ofNanos(System.nanoTime() - plannedNanos), tokens);
                case REFUSED -> run.result.refused();
                case FAILED -> run.result.failed();
                case GIVEN_UP -> {}
            }
            run.ended(this);
        }
    }
}
