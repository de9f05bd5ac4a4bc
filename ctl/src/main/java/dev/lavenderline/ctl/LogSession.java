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
 * Follows one stream and appends to it, for the time of one command. An append whose answer was lost is sent again with
 * the same writer and sequence, so that readers fold it once.
 *
 * <p>The ledger is confined to the session's event loop; {@link #await} runs its condition there. The methods are called
 * by one thread, which waits in them.
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
    private final long endNanos;

    // The fields below are confined to the event loop.
    private HttpLogService log;
    private LogFollower follower;
    private LogWriter writer;
    private Runnable check = () -> {};
    private Optional<LogError> rejected = Optional.empty();
    private volatile String lastError = "";

    /** Starts to follow a stream. */
    LogSession(Vertx vertx, URI url, String stream, Ledger ledger, Duration timeout) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.url = url;
        this.stream = stream;
        this.timeout = timeout;
        this.endNanos = ticker.nanos() + timeout.toNanos();
        context.runOnContext(ignored -> start(ledger));
    }

    private void start(Ledger ledger) {
        log = new HttpLogService(vertx, url, REQUEST_TIMEOUT);
        LogService remembering = new LogService() {
            @Override
            public Uni<Either<LogError, Long>> append(String name, byte[] data) {
                return log.append(name, data).invoke(outcome -> remember(outcome));
            }

            @Override
            public Uni<Either<LogError, LogSlice>> read(String name, long from, int maxBytes, Duration wait) {
                return log.read(name, from, maxBytes, wait).invoke(outcome -> remember(outcome));
            }
        };
        VertxTimers timers = new VertxTimers(vertx);
        follower = LogFollower.builder(remembering, timers, ticker).stream(stream)
                .ledger(ledger)
                .pollWait(POLL_WAIT)
                .listener(() -> check.run())
                .start();
        follower.caughtUp().subscribe().with(ignored -> check.run());
        follower.failed().subscribe().with(ignored -> check.run());
        writer = LogWriter.builder(remembering, timers, ticker).stream(stream)
                .writer("lavenderctl/" + UUID.randomUUID())
                .linger(Duration.ZERO)
                .build();
    }

    private void remember(Either<LogError, ?> outcome) {
        if (outcome.isLeft()) {
            lastError = describe(outcome.getLeft());
        }
    }

    /** Waits until the end of the stream was read once. */
    Optional<Result> catchUp() {
        return await(() -> follower.isCaughtUp() ? Optional.of(true) : Optional.empty(), "reading the log")
                .swap()
                .toJavaOptional();
    }

    /** Queues an entry; {@link #await} tells whether it was folded. */
    void append(Entry entry) {
        context.runOnContext(ignored -> writer.write(entry).subscribe().with(outcome -> {
            if (outcome.isLeft() && outcome.getLeft() instanceof LogError.Rejected) {
                rejected = Optional.of(outcome.getLeft());
                check.run();
            }
        }));
    }

    /**
     * Waits until a condition on the ledger has a value. It is evaluated on the event loop, now and after each record.
     *
     * @param action what the message names if the time is over
     * @return the value, or the result to print if the time is over, the stream cannot be read by this release, or the
     *     log refused the entry
     */
    <T> Either<Result, T> await(Supplier<Optional<T>> condition, String action) {
        CompletableFuture<Either<Result, T>> done = new CompletableFuture<>();
        context.runOnContext(ignored -> {
            check = () -> evaluate(condition, done);
            check.run();
        });
        try {
            return done.get(Math.max(0, endNanos - ticker.nanos()), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            String cause = lastError.isEmpty() ? "" : ": " + lastError;
            return Either.left(Result.error(
                    ExitCode.UNAVAILABLE,
                    action + " at " + url + " took longer than " + Quantities.format(timeout) + cause));
        } catch (ExecutionException e) {
            throw new IllegalStateException("condition failed", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(Result.error(ExitCode.INTERNAL, "interrupted"));
        }
    }

    private <T> void evaluate(Supplier<Optional<T>> condition, CompletableFuture<Either<Result, T>> done) {
        if (done.isDone()) {
            return;
        }
        if (follower.failure().isPresent()) {
            done.complete(Either.left(
                    Result.error(ExitCode.INTERNAL, follower.failure().get().message())));
            return;
        }
        try {
            condition.get().ifPresent(value -> done.complete(Either.right(value)));
        } catch (RuntimeException e) {
            done.completeExceptionally(e);
        }
        if (rejected.isPresent()) {
            done.complete(Either.left(
                    Result.error(ExitCode.FAILED, "the log refused the record: " + describe(rejected.get()))));
        }
    }

    private static String describe(LogError error) {
        if (error instanceof LogError.Unavailable unavailable) {
            return unavailable.message();
        }
        if (error instanceof LogError.TimedOut timedOut) {
            return timedOut.message();
        }
        if (error instanceof LogError.Rejected refusal) {
            return refusal.message();
        }
        return error instanceof LogError.Overloaded ? "the log is over its append rate" : error.toString();
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
