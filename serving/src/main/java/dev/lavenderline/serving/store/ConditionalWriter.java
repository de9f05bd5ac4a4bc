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
 * <p>A change is a function of the current state that returns the records to append, none if nothing is left to do. It
 * is evaluated again after each conflict and after each append without a response, so it has to detect that it is
 * already in effect. Waiting changes are batched into one append.
 *
 * <p>Invariant: at most one append is in progress, and each states the offset up to which the follower has read. Not
 * thread-safe; confined to the event loop.
 */
public final class ConditionalWriter {
    private static final Duration RETRY_DELAY = Duration.ofMillis(150);

    /** Total size of values from which no change is added to an append; below the store's limit of 2 MB per call. */
    private static final int APPEND_BATCH_BYTES = 1_000_000;

    private final MetadataStore store;
    private final Partition partition;
    private final PartitionFollower follower;
    private final Ticker ticker;
    private final Timers timers;
    private final Deque<PendingChange> waiting = new ArrayDeque<>();
    private boolean appending;

    /** A change of the partition. */
    public interface Change {
        /**
         * Returns the records to append in the current state: an empty list if the change is in effect or no longer
         * applies, an empty optional if it has to wait for another change of the same append.
         *
         * @param reservations reservations of earlier changes of the same append
         */
        Optional<List<KeyedRecord>> records(Reservations reservations);
    }

    /** Numbers reserved by the changes of one append, as the state lacks these changes so far. Not thread-safe. */
    public static final class Reservations {
        private final Map<String, Integer> taken = new HashMap<>();

        /** Reserves the next number, from 0, for a name and returns it. */
        public int take(String name) {
            return taken.merge(name, 1, Integer::sum) - 1;
        }
    }

    /** Outcome of a change. */
    public enum Result {
        /** The records are in the partition, or the state called for none. */
        DONE,
        /** The time limit passed; nothing was or will be appended. */
        NOT_APPENDED,
        /** The time limit passed; the records may have been or may still be appended. */
        UNKNOWN
    }

    private static final class PendingChange {
        final Change change;
        final long deadlineNanos;
        final Promise<Result> promise = Promise.promise();
        boolean inProgress;
        boolean maybeAppended;

        PendingChange(Change change, long deadlineNanos) {
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
     * @param limit time after which the change is abandoned
     */
    public Future<Result> submit(Change change, Duration limit) {
        PendingChange pending = new PendingChange(change, ticker.nanos() + limit.toNanos());
        waiting.add(pending);
        // Also expires changes whose deadline passes while an append is in progress.
        timers.after(limit, this::expireOverdue);
        appendNext();
        return pending.promise.future();
    }

    /** Returns the number of changes that are waiting or being appended. */
    public int waiting() {
        return waiting.size();
    }

    private void expireOverdue() {
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

    private void appendNext() {
        if (appending || waiting.isEmpty() || follower.nextOffset() < 0) {
            return;
        }
        List<PendingChange> batch = new ArrayList<>();
        List<KeyedRecord> records = new ArrayList<>();
        Reservations reservations = new Reservations();
        int bytes = 0;
        for (PendingChange pending : List.copyOf(waiting)) {
            if (bytes >= APPEND_BATCH_BYTES) {
                break;
            }
            Optional<List<KeyedRecord>> changeRecords = pending.change.records(reservations);
            if (changeRecords.isEmpty()) {
                continue;
            }
            if (changeRecords.get().isEmpty()) {
                waiting.remove(pending);
                pending.promise.tryComplete(Result.DONE);
                continue;
            }
            batch.add(pending);
            records.addAll(changeRecords.get());
            bytes += changeRecords.get().stream()
                    .mapToInt(record -> record.value().length)
                    .sum();
        }
        if (!batch.isEmpty()) {
            append(batch, records);
        }
    }

    private void append(List<PendingChange> batch, List<KeyedRecord> records) {
        long offset = follower.nextOffset();
        appending = true;
        batch.forEach(pending -> pending.inProgress = true);
        store.append(partition, offset, records).onComplete(response -> {
            appending = false;
            batch.forEach(pending -> pending.inProgress = false);
            if (response.succeeded()) {
                follower.handleAppended(offset, records);
                batch.forEach(pending -> {
                    waiting.remove(pending);
                    pending.promise.tryComplete(Result.DONE);
                });
                appendNext();
                return;
            }
            StoreException.Reason reason = StoreException.reasonOf(response.cause());
            if (reason != StoreException.Reason.REJECTED && reason != StoreException.Reason.CONFLICT) {
                batch.forEach(pending -> pending.maybeAppended = true);
            }
            expireOverdue();
            if (reason == StoreException.Reason.CONFLICT) {
                follower.refresh().onComplete(refreshed -> {
                    if (refreshed.succeeded()) {
                        appendNext();
                    } else {
                        timers.after(RETRY_DELAY, this::appendNext);
                    }
                });
                return;
            }
            timers.after(RETRY_DELAY, this::appendNext);
        });
    }
}
