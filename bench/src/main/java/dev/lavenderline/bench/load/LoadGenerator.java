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
 * Open-loop load generator: sends each request at its planned time, round-robin over the nodes, without waiting for
 * earlier responses.
 *
 * <p>All requests run on one event loop. {@link #run} may be called from any other thread, but only one call at a time.
 */
public final class LoadGenerator implements AutoCloseable {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(30);

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
     * Sends the requests of a plan and waits until all have ended.
     *
     * @param urls supplies the base URLs of the nodes that a load balancer would use at that time
     * @param abortLong whether to abort the long requests when all others have ended
     */
    public LoadResult run(LoadPlan plan, Supplier<List<String>> urls, boolean abortLong) {
        CompletableFuture<LoadResult> done = new CompletableFuture<>();
        context.runOnContext(ignored -> new Run(plan, urls, abortLong, done).start());
        Duration timeout = RESPONSE_TIMEOUT;
        if (!plan.requests().isEmpty()) {
            timeout = RESPONSE_TIMEOUT.plus(
                    plan.requests().get(plan.requests().size() - 1).at());
        }
        try {
            return done.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while a load was running", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the load did not end within " + timeout, e);
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
        private final boolean abortLong;
        private final CompletableFuture<LoadResult> done;
        private final LoadResult result = new LoadResult();
        private final java.util.Set<Exchange> open = new java.util.HashSet<>();
        private long startNanos;
        private int nextIndex;
        private int openShortCount;
        private boolean isDone;

        private Run(LoadPlan plan, Supplier<List<String>> urls, boolean abortLong, CompletableFuture<LoadResult> done) {
            this.plan = plan;
            this.urls = urls;
            this.abortLong = abortLong;
            this.done = done;
        }

        private void start() {
            startNanos = System.nanoTime();
            sendDue();
        }

        private void sendDue() {
            long elapsed = System.nanoTime() - startNanos;
            while (nextIndex < plan.requests().size()
                    && plan.requests().get(nextIndex).at().toNanos() <= elapsed) {
                List<String> currentUrls = urls.get();
                send(plan.requests().get(nextIndex), currentUrls.get(nextIndex % currentUrls.size()));
                nextIndex++;
            }
            if (nextIndex < plan.requests().size()) {
                vertx.setTimer(1, timer -> sendDue());
            } else {
                checkDone();
            }
        }

        private void send(LoadPlan.Request request, String url) {
            Exchange exchange =
                    new Exchange(this, request, startNanos + request.at().toNanos());
            open.add(exchange);
            openShortCount += request.isLong() ? 0 : 1;
            result.recordSent();
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
                    .onSuccess(exchange::onResponse)
                    .onFailure(failure -> exchange.end(Outcome.FAILED));
        }

        private void onEnded(Exchange exchange) {
            if (!open.remove(exchange)) {
                return;
            }
            openShortCount -= exchange.request.isLong() ? 0 : 1;
            checkDone();
        }

        private void checkDone() {
            if (nextIndex < plan.requests().size() || isDone) {
                return;
            }
            if (open.isEmpty()) {
                isDone = true;
                done.complete(result);
            } else if (abortLong && openShortCount == 0) {
                isDone = true;
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
        private static final String END_OF_STREAM = "data: [DONE]";

        private final Run run;
        private final LoadPlan.Request request;
        private final long plannedNanos;
        private final StringBuilder partialLine = new StringBuilder();
        private Runnable abort = () -> {};
        private long lastTokenNanos;
        private int tokens;
        private boolean isComplete;
        private boolean hasEnded;

        private Exchange(Run run, LoadPlan.Request request, long plannedNanos) {
            this.run = run;
            this.request = request;
            this.plannedNanos = plannedNanos;
        }

        private void onResponse(HttpClientResponse response) {
            if (response.statusCode() != 200) {
                boolean refused = response.statusCode() == 429 || response.statusCode() == 503;
                response.end().onComplete(read -> end(refused ? Outcome.REFUSED : Outcome.FAILED));
                return;
            }
            response.handler(this::onData);
            response.exceptionHandler(failure -> end(Outcome.FAILED));
            response.endHandler(read -> end(isComplete ? Outcome.WHOLE : Outcome.FAILED));
        }

        private void onData(Buffer buffer) {
            partialLine.append(buffer.toString(StandardCharsets.UTF_8));
            int lineStart = 0;
            for (int lineEnd = partialLine.indexOf("\n");
                    lineEnd >= 0;
                    lineEnd = partialLine.indexOf("\n", lineStart)) {
                onLine(partialLine.substring(lineStart, lineEnd));
                lineStart = lineEnd + 1;
            }
            partialLine.delete(0, lineStart);
        }

        private void onLine(String line) {
            if (line.startsWith(END_OF_STREAM)) {
                isComplete = true;
            } else if (line.startsWith("data: ") && line.contains("\"content\"")) {
                onToken();
            }
        }

        private void onToken() {
            long now = System.nanoTime();
            tokens++;
            if (tokens == 1) {
                run.result.recordFirstToken(Duration.ofNanos(now - plannedNanos), request.isLong());
            } else {
                run.result.recordInterval(Duration.ofNanos(now - lastTokenNanos));
            }
            lastTokenNanos = now;
        }

        private void giveUp() {
            end(Outcome.GIVEN_UP);
            abort.run();
        }

        private void end(Outcome outcome) {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            switch (outcome) {
                case WHOLE -> run.result.recordComplete(Duration.ofNanos(System.nanoTime() - plannedNanos), tokens);
                case REFUSED -> run.result.recordRefused();
                case FAILED -> run.result.recordFailed();
                case GIVEN_UP -> {}
            }
            run.onEnded(this);
        }
    }
}
