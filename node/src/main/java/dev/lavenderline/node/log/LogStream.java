package dev.lavenderline.node.log;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.core.ledger.Ledger;
import dev.lavenderline.log.LogError;
import dev.lavenderline.log.LogFollower;
import dev.lavenderline.log.LogWriter;
import dev.lavenderline.proto.log.Entry;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.PriorityQueue;

/**
 * One stream of the log: a ledger, the follower that applies the stream's records to it, and a writer.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 *
 * @param <L> type of the ledger
 */
public final class LogStream<L extends Ledger> {
    private final L ledger;
    private final LogWriter writer;
    private final LogFollower follower;
    private final Timers timers;
    private final Ticker ticker;
    private final PriorityQueue<Waiter> waiters = new PriorityQueue<>((a, b) -> Long.compare(a.offset, b.offset));

    public LogStream(L ledger, LogWriter writer, LogFollower follower, Timers timers, Ticker ticker) {
        this.ledger = ledger;
        this.writer = writer;
        this.follower = follower;
        this.timers = timers;
        this.ticker = ticker;
    }

    public L ledger() {
        return ledger;
    }

    public LogWriter writer() {
        return writer;
    }

    public LogFollower follower() {
        return follower;
    }

    /** Returns whether the ledger contained every record of the stream at some time within the last {@code limit}. */
    public boolean isFresh(Duration limit) {
        return tailAge().compareTo(limit) <= 0;
    }

    /** Returns the time since the ledger last contained every record of the stream; one day if it never did. */
    public Duration tailAge() {
        return follower.lastTailRead().isPresent()
                ? Duration.ofNanos(ticker.nanos() - follower.lastTailRead().getAsLong())
                : Duration.ofDays(1);
    }

    /**
     * Appends entries and waits until this node has applied them.
     *
     * @return the offset, or {@link LogError.TimedOut} if the limit passed; the entries may still be appended later
     */
    public Uni<Either<LogError, Long>> append(List<Entry> entries, Duration limit) {
        Uni<Either<LogError, Long>> applied = writer.write(entries).chain(result -> {
            if (result.isLeft()) {
                return Uni.createFrom().item(result);
            }
            return awaitApplied(result.get()).replaceWith(result);
        });
        String message = "no acknowledgement on stream " + writer.stream() + " within " + limit.toMillis() + " ms";
        return Timeouts.within(applied, timers, limit, () -> Either.left(new LogError.TimedOut(message)));
    }

    /** Appends one entry; see {@link #append(List, Duration)}. */
    public Uni<Either<LogError, Long>> append(Entry entry, Duration limit) {
        return append(List.of(entry), limit);
    }

    /** Completes when this node has applied the record at the offset. */
    public Uni<Void> awaitApplied(long offset) {
        if (ledger.position() >= offset) {
            return Uni.createFrom().voidItem();
        }
        return Uni.createFrom().emitter(emitter -> waiters.add(new Waiter(offset, () -> emitter.complete(null))));
    }

    /** Completes the waiters whose offset is reached; call after each slice that the follower applied. */
    public void completeWaiters() {
        while (!waiters.isEmpty() && waiters.peek().offset <= ledger.position()) {
            waiters.poll().complete.run();
        }
    }

    private record Waiter(long offset, Runnable complete) {}
}
