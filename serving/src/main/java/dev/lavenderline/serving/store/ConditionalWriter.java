package dev.lavenderline.serving.store;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Appends records to a partition on the condition that nothing was appended since it was last read.
 *
 * <p>A change is a function of the current state that returns the records to append, none if nothing has to be done
 * any more. It is evaluated again after each conflict and after each append without an answer, so it has to recognize
 * its own effect. Changes that wait are appended together.
 *
 * <p>Invariant: at most one append is in progress, and each states the offset up to which the follower has read. Not
 * thread-safe; confined to the event loop.
 */
public final class ConditionalWriter {
    private static final Duration RETRY = Duration.ofMillis(150);

    /** Bytes of values in one append, below the store's limit for a call, 2 MB. */
    private static final int BYTES_PER_APPEND = 1_000_000;

    private final MetadataStore store;
    private final Partition partition;
    private final PartitionFollower follower;
    private final Ticker ticker;
    private final Timers timers;
    private final Deque<Pending> waiting = new ArrayDeque<>();
    private boolean appending;

    /** A change of the partition. */
    public interface Change {
        /**
         * Returns the records that the current state calls for: an empty list if the change is in effect or void,
         * nothing if it has to wait for another change of the same append.
         *
         * @param reservations what earlier changes of the same append have reserved
         */
        Optional<List<KeyedRecord>> records(Reservations reservations);
    }

    /** Numbers that the changes of one append have taken, since none of them is in the state yet. Not thread-safe. */
    public static final class Reservations {
        private final Map<String, Integer> taken = new HashMap<>();

        /** Takes the next number for a name and returns how many were taken before. */
        public int take(String name) {
            return taken.merge(name, 1, Integer::sum) - 1;
        }
    }

    /** How a change ended. */
    public enum Result {
        /** The records are in the partition, or the state called for none. */
        DONE,
        /** Time ran out and nothing was or will be appended. */
        NOT_APPENDED,
        /** Time ran out and the records may be appended. */
        UNKNOWN
    }

    private static final class Pending {
        final Change change;
        final long deadlineNanos;
        final Promise<Result> promise = Promise.promise();
        boolean inProgress;
        boolean maybeAppended;

        Pending(Change change, long deadlineNanos) {
            this.change = change;
            this.deadlineNanos = deadlineNanos;
        }
    }

    public ConditionalWriter(
            MetadataStore store, Partition partition, PartitionFollower follower, Ticker ticker, Timers timers) {
        this.store = store;
        this.partition = partition;
        this.follower = follower;
        this.ticker = ticker;
        this.timers = timers;
    }

    /**
     * Submits a change.
     *
     * @param limit time after which the change is given up
     */
    public Future<Result> submit(Change change, Duration limit) {
        Pending pending = new Pending(change, ticker.nanos() + limit.toNanos());
        waiting.add(pending);
        // Also ends changes whose time passes while an append is in progress.
        timers.after(limit, this::expire);
        pump();
        return pending.promise.future();
    }

    /** Returns the number of changes that wait or are being appended. */
    public int waiting() {
        return waiting.size();
    }

    private void expire() {
        long now = ticker.nanos();
        waiting.removeIf(pending -> {
            if (now - pending.deadlineNanos < 0) {
                return false;
            }
            boolean sent = pending.inProgress || pending.maybeAppended;
            pending.promise.tryComplete(sent ? Result.UNKNOWN : Result.NOT_APPENDED);
            return true;
        });
    }

    private void pump() {
        if (appending || waiting.isEmpty() || follower.next() < 0) {
            return;
        }
        List<Pending> included = new ArrayList<>();
        List<KeyedRecord> records = new ArrayList<>();
        Reservations reservations = new Reservations();
        int bytes = 0;
        for (Pending pending : List.copyOf(waiting)) {
            if (bytes >= BYTES_PER_APPEND) {
                break;
            }
            Optional<List<KeyedRecord>> wanted = pending.change.records(reservations);
            if (wanted.isEmpty()) {
                continue;
            }
            if (wanted.get().isEmpty()) {
                waiting.remove(pending);
                pending.promise.tryComplete(Result.DONE);
                continue;
            }
            included.add(pending);
            records.addAll(wanted.get());
            bytes += wanted.get().stream()
                    .mapToInt(record -> record.value().length)
                    .sum();
        }
        if (!included.isEmpty()) {
            append(included, records);
        }
    }

    private void append(List<Pending> included, List<KeyedRecord> records) {
        long at = follower.next();
        appending = true;
        included.forEach(pending -> pending.inProgress = true);
        store.append(partition, at, records).onComplete(answer -> {
            appending = false;
            included.forEach(pending -> pending.inProgress = false);
            if (answer.succeeded()) {
                follower.appended(at, records);
                included.forEach(pending -> {
                    waiting.remove(pending);
                    pending.promise.tryComplete(Result.DONE);
                });
                pump();
                return;
            }
            StoreException.Reason reason = StoreException.reasonOf(answer.cause());
            if (reason != StoreException.Reason.REJECTED && reason != StoreException.Reason.CONFLICT) {
                included.forEach(pending -> pending.maybeAppended = true);
            }
            expire();
            if (reason == StoreException.Reason.CONFLICT) {
                follower.refresh().onComplete(read -> {
                    if (read.succeeded()) {
                        pump();
                    } else {
                        timers.after(RETRY, this::pump);
                    }
                });
                return;
            }
            timers.after(RETRY, this::pump);
        });
    }
}
