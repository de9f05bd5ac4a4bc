package dev.lavenderline.serving.store;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.FailureGuard;
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
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Appends records to a partition on the condition that nothing was appended since it was last read.
 *
 * <p>A change is a function of the current state that returns the records to append, none if nothing is left to do. It
 * is evaluated again after each conflict and after each append without a response, so it has to detect that it is
 * already in effect. Waiting changes are batched into one append.
 *
 * <p>Invariants: at most one append is in progress, and each states the offset up to which the follower has read. A
 * change is refused only if the partition was read up to its end since it was submitted and no append of it can still
 * be executed. A change that throws is abandoned, and what throws at its outcome keeps no other change from its own.
 * Not thread-safe; confined to the event loop.
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
    private final EventLog log;
    private final Deque<PendingChange> waiting = new ArrayDeque<>();

    /** Why the last append failed; empty if it succeeded. */
    private Optional<String> lastFailure = Optional.empty();

    /** Names of the changes whose append is in progress. */
    private Set<String> appending = Set.of();

    /**
     * By the name of a change, the end of the records of its last append without a response. Once the follower has read
     * up to there, the append has been read or its condition no longer holds.
     */
    private final Map<String, Long> unansweredEnds = new HashMap<>();

    /** A change of the partition. */
    public interface Change {
        /**
         * Returns the records to append in the current state: an empty list if the change is in effect or no longer
         * applies, an empty optional if it has to wait for another change of the same append.
         *
         * @param reservations reservations of earlier changes of the same append
         */
        Optional<List<KeyedRecord>> records(Reservations reservations);

        /** Returns whether the change must not be appended in the current state; false if it is in effect. */
        default boolean refused() {
            return false;
        }
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
        /** The change was refused; nothing was or will be appended. */
        REFUSED,
        /** The time limit passed; the change was not and will not be appended, but another of its name may be. */
        NOT_APPENDED,
        /** The time limit passed; the records may have been or may still be appended. */
        UNKNOWN
    }

    private static final class PendingChange {
        final String name;
        final Change change;
        final long deadlineNanos;
        final Promise<Result> promise = Promise.promise();
        boolean inProgress;
        boolean maybeAppended;

        /** Whether a read up to the partition's end is in progress, before which the change is not evaluated. */
        boolean reading;

        /** Whether the partition was read up to its end since the change was submitted or its last append failed. */
        boolean readToEnd;

        PendingChange(String name, Change change, long deadlineNanos) {
            this.name = name;
            this.change = change;
            this.deadlineNanos = deadlineNanos;
        }
    }

    public ConditionalWriter(
            MetadataStore store,
            Partition partition,
            PartitionFollower follower,
            Ticker ticker,
            Timers timers,
            EventLog log) {
        this.store = store;
        this.partition = partition;
        this.follower = follower;
        this.ticker = ticker;
        this.timers = timers;
        this.log = log;
    }

    /**
     * Submits a change.
     *
     * @param name identifies the change; changes of the same name have the same effect
     * @param limit time after which the change is abandoned
     */
    public Future<Result> submit(String name, Change change, Duration limit) {
        PendingChange pending = new PendingChange(name, change, ticker.nanos() + limit.toNanos());
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

    /** Returns why the last append failed, conflicts included; empty if it succeeded. */
    public Optional<String> lastFailure() {
        return lastFailure;
    }

    /**
     * Returns whether an append of a change of this name, possibly one that was abandoned, may still be executed or has
     * not been read.
     */
    public boolean mayBeExecuted(String name) {
        return appending.contains(name) || unansweredEnds.getOrDefault(name, -1L) > follower.nextOffset();
    }

    private void expireOverdue() {
        long now = ticker.nanos();
        List<PendingChange> overdue = new ArrayList<>();
        waiting.removeIf(pending -> {
            if (now - pending.deadlineNanos < 0) {
                return false;
            }
            overdue.add(pending);
            return true;
        });
        overdue.forEach(this::abandon);
    }

    private void abandon(PendingChange pending) {
        boolean sent = pending.inProgress || pending.maybeAppended;
        complete(pending, sent ? Result.UNKNOWN : Result.NOT_APPENDED);
    }

    private void complete(PendingChange pending, Result result) {
        FailureGuard.run(log, () -> pending.promise.tryComplete(result), "partition", partition, "key", pending.name);
    }

    private void appendNext() {
        if (!appending.isEmpty() || waiting.isEmpty() || follower.nextOffset() < 0) {
            return;
        }
        Evaluation evaluation = new Evaluation();
        for (PendingChange pending : List.copyOf(waiting)) {
            if (evaluation.bytes >= APPEND_BATCH_BYTES) {
                break;
            }
            if (pending.reading) {
                continue;
            }
            Runnable task = () -> evaluate(pending, evaluation);
            if (!FailureGuard.run(log, task, "partition", partition, "key", pending.name)) {
                waiting.remove(pending);
                abandon(pending);
            }
        }
        if (!evaluation.batch.isEmpty()) {
            append(evaluation.batch, evaluation.records);
        }
        if (!evaluation.unread.isEmpty()) {
            readToEnd(evaluation.unread);
        }
    }

    /** What is to be done for the waiting changes in the current state. */
    private static final class Evaluation {
        final List<PendingChange> batch = new ArrayList<>();
        final List<KeyedRecord> records = new ArrayList<>();
        final List<PendingChange> unread = new ArrayList<>();
        final Reservations reservations = new Reservations();
        int bytes;
    }

    private void evaluate(PendingChange pending, Evaluation evaluation) {
        // A change that may be executed is appended again: only that shows whether it was.
        if (!mayBeExecuted(pending.name) && pending.change.refused()) {
            if (pending.readToEnd) {
                waiting.remove(pending);
                complete(pending, Result.REFUSED);
            } else {
                evaluation.unread.add(pending);
            }
            return;
        }
        Optional<List<KeyedRecord>> changeRecords = pending.change.records(evaluation.reservations);
        if (changeRecords.isEmpty()) {
            return;
        }
        if (changeRecords.get().isEmpty()) {
            waiting.remove(pending);
            complete(pending, Result.DONE);
            return;
        }
        evaluation.batch.add(pending);
        evaluation.records.addAll(changeRecords.get());
        evaluation.bytes += changeRecords.get().stream()
                .mapToInt(record -> record.value().length)
                .sum();
    }

    /** Reads up to the partition's end, then evaluates changes again. */
    private void readToEnd(List<PendingChange> changes) {
        changes.forEach(pending -> pending.reading = true);
        follower.refresh().onComplete(read -> {
            changes.forEach(pending -> {
                pending.reading = false;
                pending.readToEnd = read.succeeded();
            });
            if (read.succeeded()) {
                appendNext();
            } else {
                timers.after(RETRY_DELAY, this::appendNext);
            }
        });
    }

    private void append(List<PendingChange> batch, List<KeyedRecord> records) {
        long offset = follower.nextOffset();
        appending = batch.stream().map(pending -> pending.name).collect(Collectors.toSet());
        batch.forEach(pending -> {
            pending.inProgress = true;
            pending.readToEnd = false;
        });
        store.append(partition, offset, records).onComplete(response -> {
            appending = Set.of();
            batch.forEach(pending -> pending.inProgress = false);
            lastFailure = Optional.ofNullable(response.cause()).map(Throwable::getMessage);
            if (response.succeeded()) {
                follower.handleAppended(offset, records);
                batch.forEach(pending -> {
                    waiting.remove(pending);
                    complete(pending, Result.DONE);
                });
                appendNext();
                return;
            }
            StoreException.Reason reason = StoreException.reasonOf(response.cause());
            if (reason != StoreException.Reason.REJECTED && reason != StoreException.Reason.CONFLICT) {
                unansweredEnds.values().removeIf(end -> end <= follower.nextOffset());
                batch.forEach(pending -> {
                    pending.maybeAppended = true;
                    unansweredEnds.put(pending.name, offset + records.size());
                });
            }
            expireOverdue();
            if (reason == StoreException.Reason.CONFLICT) {
                readToEnd(batch);
                return;
            }
            timers.after(RETRY_DELAY, this::appendNext);
        });
    }
}
