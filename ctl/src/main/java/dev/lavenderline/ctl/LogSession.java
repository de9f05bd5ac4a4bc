package dev.lavenderline.ctl;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.VertxTimers;
import dev.lavenderline.core.config.Quantities;
import dev.lavenderline.core.ledger.Ledger;
import dev.lavenderline.log.HttpLogService;
import dev.lavenderline.log.LogError;
import dev.lavenderline.log.LogFollower;
import dev.lavenderline.log.LogService;
import dev.lavenderline.log.LogSlice;
import dev.lavenderline.log.LogWriter;
import dev.lavenderline.proto.log.Entry;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/**
 * Follows one stream and appends to it during one command. An append whose response was lost is retried with the same
 * writer and sequence, so that readers apply it once.
 *
 * <p>The ledger is confined to the session's event loop; {@link #await} runs its condition there. The methods are
 * called by one thread; all but {@link #append} block it.
 */
final class LogSession implements AutoCloseable {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration POLL_WAIT = Duration.ofSeconds(1);

    private final Vertx vertx;
    private final Context context;
    private final Ticker ticker = Ticker.system();
    private final URI url;
    private final String stream;
    private final Duration timeout;
    private final long deadlineNanos;

    // The fields below are confined to the event loop.
    private HttpLogService log;
    private LogFollower follower;
    private LogWriter writer;
    private Runnable pendingCheck = () -> {};
    private Optional<LogError> rejection = Optional.empty();
    private volatile String lastError = "";

    /** Starts to follow a stream; the timeout limits the whole session. */
    LogSession(Vertx vertx, URI url, String stream, Ledger ledger, Duration timeout) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.url = url;
        this.stream = stream;
        this.timeout = timeout;
        this.deadlineNanos = ticker.nanos() + timeout.toNanos();
        context.runOnContext(ignored -> start(ledger));
    }

    private void start(Ledger ledger) {
        log = new HttpLogService(vertx, url, REQUEST_TIMEOUT);
        LogService errorRecordingLog = new LogService() {
            @Override
            public Uni<Either<LogError, Long>> append(String name, byte[] data) {
                return log.append(name, data).invoke(outcome -> recordError(outcome));
            }

            @Override
            public Uni<Either<LogError, LogSlice>> read(String name, long from, int maxBytes, Duration wait) {
                return log.read(name, from, maxBytes, wait).invoke(outcome -> recordError(outcome));
            }
        };
        VertxTimers timers = new VertxTimers(vertx);
        follower = LogFollower.builder(errorRecordingLog, timers, ticker).stream(stream)
                .ledger(ledger)
                .pollWait(POLL_WAIT)
                .listener(() -> pendingCheck.run())
                .start();
        follower.caughtUp().subscribe().with(ignored -> pendingCheck.run());
        follower.failed().subscribe().with(ignored -> pendingCheck.run());
        writer = LogWriter.builder(errorRecordingLog, timers, ticker).stream(stream)
                .writer("lavenderctl/" + UUID.randomUUID())
                .linger(Duration.ZERO)
                .build();
    }

    private void recordError(Either<LogError, ?> outcome) {
        if (outcome.isLeft()) {
            lastError = describe(outcome.getLeft());
        }
    }

    /** Waits until the ledger has caught up with the end of the stream; returns the result to print on failure. */
    Optional<Result> catchUp() {
        return await(() -> follower.isCaughtUp() ? Optional.of(true) : Optional.empty(), "reading the log")
                .swap()
                .toJavaOptional();
    }

    /** Queues an entry without waiting; use {@link #await} to learn whether it took effect. */
    void append(Entry entry) {
        context.runOnContext(ignored -> writer.write(entry).subscribe().with(outcome -> {
            if (outcome.isLeft() && outcome.getLeft() instanceof LogError.Rejected) {
                rejection = Optional.of(outcome.getLeft());
                pendingCheck.run();
            }
        }));
    }

    /**
     * Waits until a condition on the ledger has a value. The condition is evaluated on the event loop, immediately
     * and after each record.
     *
     * @param action what the timeout message says was in progress
     * @return the value, or the result to print if the timeout has passed, this release cannot read the stream, or the
     *     log rejected the entry
     */
    <T> Either<Result, T> await(Supplier<Optional<T>> condition, String action) {
        CompletableFuture<Either<Result, T>> promise = new CompletableFuture<>();
        context.runOnContext(ignored -> {
            pendingCheck = () -> evaluate(condition, promise);
            pendingCheck.run();
        });
        try {
            return promise.get(Math.max(0, deadlineNanos - ticker.nanos()), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            String cause = lastError.isEmpty() ? "" : ": " + lastError;
            return Either.left(Result.error(
                    ExitCode.UNAVAILABLE,
                    action + " at " + url + " took longer than " + Quantities.formatDuration(timeout) + cause));
        } catch (ExecutionException e) {
            throw new IllegalStateException("condition failed", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(Result.error(ExitCode.INTERNAL, "interrupted"));
        }
    }

    private <T> void evaluate(Supplier<Optional<T>> condition, CompletableFuture<Either<Result, T>> promise) {
        if (promise.isDone()) {
            return;
        }
        if (follower.failure().isPresent()) {
            promise.complete(Either.left(
                    Result.error(ExitCode.INTERNAL, follower.failure().get().message())));
            return;
        }
        try {
            condition.get().ifPresent(value -> promise.complete(Either.right(value)));
        } catch (RuntimeException e) {
            promise.completeExceptionally(e);
        }
        if (rejection.isPresent()) {
            promise.complete(Either.left(
                    Result.error(ExitCode.FAILED, "the log rejected the record: " + describe(rejection.get()))));
        }
    }

    private static String describe(LogError error) {
        if (error instanceof LogError.Unavailable unavailable) {
            return unavailable.message();
        }
        if (error instanceof LogError.TimedOut timedOut) {
            return timedOut.message();
        }
        if (error instanceof LogError.Rejected rejected) {
            return rejected.message();
        }
        return error instanceof LogError.Overloaded ? "the append rate limit of the log is exceeded" : error.toString();
    }

    @Override
    public void close() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        context.runOnContext(ignored -> {
            writer.close();
            follower.stop();
            log.close();
            closed.complete(null);
        });
        closed.join();
    }
}
