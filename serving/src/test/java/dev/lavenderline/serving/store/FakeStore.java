package dev.lavenderline.serving.store;

import dev.lavenderline.core.Timers;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * In-memory store with conditional appends and keyed topics. An append completes waiting polls. A test chooses the
 * outcome of each append. Not thread-safe.
 */
public final class FakeStore implements MetadataStore {
    /** Outcome of an append. */
    public enum AppendOutcome {
        NORMAL,
        /** Executed, but its response is lost. */
        ANSWER_LOST,
        /** Not executed; the store reports the rejection. */
        REJECTED,
        /** No response; executed by {@link #executeLateAppends}, if the condition holds then. */
        LATE,
        /** Not executed, and neither a response nor a failure arrives. */
        HANGING
    }

    private final Map<Partition, List<KeyedRecord>> logs = new HashMap<>();
    private final Deque<AppendOutcome> nextOutcomes = new ArrayDeque<>();
    private final Map<String, Deque<AppendOutcome>> nextOutcomesByTopic = new HashMap<>();
    private final List<Runnable> lateAppends = new ArrayList<>();
    private final List<Runnable> waitingPolls = new ArrayList<>();
    private Optional<Timers> pollTimers = Optional.empty();
    private boolean down;
    private boolean holdPolls;
    private final Map<String, Integer> appends = new HashMap<>();
    private int reads;
    private int pageReads;
    private int readsAt;
    private int renewals;
    private boolean expired;
    private int pageSize = Integer.MAX_VALUE;
    private int sliceSize = Integer.MAX_VALUE;
    private int maxRecordBytes = Integer.MAX_VALUE;
    private final Map<Partition, Integer> firstOffsets = new HashMap<>();
    private final Set<Integer> failedPageReads = new HashSet<>();

    /** Sets the outcome of the next appends; later ones are normal. */
    public void nextAppends(AppendOutcome... outcomes) {
        nextOutcomes.addAll(List.of(outcomes));
    }

    /** Sets the outcome of the next appends to a topic; later ones are normal. */
    public void nextAppends(String topic, AppendOutcome... outcomes) {
        nextOutcomesByTopic.computeIfAbsent(topic, key -> new ArrayDeque<>()).addAll(List.of(outcomes));
    }

    /** Sets whether all calls fail without a response. */
    public void down(boolean value) {
        down = value;
    }

    /** Sets whether polls wait even if records are available. */
    public void holdPolls(boolean value) {
        holdPolls = value;
    }

    /** Answers the waiting polls; further polls do not wait if records are available. */
    public void releasePolls() {
        holdPolls = false;
        List<Runnable> polls = List.copyOf(waitingPolls);
        waitingPolls.clear();
        polls.forEach(Runnable::run);
    }

    /** Lets polls end when their wait is over; without timers, they wait for a record or {@link #releasePolls}. */
    public void endPolls(Timers timers) {
        pollTimers = Optional.of(timers);
    }

    /** Drops the waiting polls without a response, as their readers are gone. */
    public void loseReaders() {
        waitingPolls.clear();
    }

    /** Returns the number of polls that wait for a record. */
    public int waitingPolls() {
        return waitingPolls.size();
    }

    /** Sets the largest number of records in a page of newest records. */
    public void pageSize(int records) {
        pageSize = records;
    }

    /** Sets the size of a record, with its key, above which an append is rejected. */
    public void maxRecordBytes(int bytes) {
        maxRecordBytes = bytes;
    }

    /** Sets the largest number of records in the response to a read. */
    public void sliceSize(int records) {
        sliceSize = records;
    }

    /** Lets reads of pages, counted from 1, fail without a response. */
    public void failPageReads(Integer... reads) {
        failedPageReads.addAll(List.of(reads));
    }

    /** Returns the number of reads, excluding those of pages and those at an offset. */
    public int reads() {
        return reads;
    }

    /** Returns the number of reads of pages. */
    public int pageReads() {
        return pageReads;
    }

    /** Executes the late appends. */
    public void executeLateAppends() {
        lateAppends.forEach(Runnable::run);
        lateAppends.clear();
    }

    /** Returns the number of appends to a topic. */
    public int appends(String topic) {
        return appends.getOrDefault(topic, 0);
    }

    /** Returns all records of a partition. */
    public List<KeyedRecord> log(Partition partition) {
        return logs.computeIfAbsent(partition, key -> new ArrayList<>());
    }

    @Override
    public Future<LogSlice> read(Partition partition, long from, Duration wait) {
        reads++;
        if (down) {
            return noResponse();
        }
        List<KeyedRecord> log = log(partition);
        if ((holdPolls || from >= log.size()) && !wait.isZero()) {
            Promise<LogSlice> promise = Promise.promise();
            Runnable poll = () -> read(partition, from, Duration.ZERO).onComplete(promise);
            waitingPolls.add(poll);
            pollTimers.ifPresent(timers -> timers.after(wait, () -> {
                if (waitingPolls.remove(poll)) {
                    poll.run();
                }
            }));
            return promise.future();
        }
        if (from < firstOffsets.getOrDefault(partition, 0)) {
            return Future.failedFuture(new StoreException(StoreException.Reason.EXPIRED, "expired"));
        }
        int firstOffset = (int) Math.min(from, log.size());
        int endOffset = (int) Math.min((long) firstOffset + sliceSize, log.size());
        return Future.succeededFuture(new LogSlice(firstOffset, log.subList(firstOffset, endOffset), log.size()));
    }

    @Override
    public Future<LogSlice> readAt(Partition partition, long offset, int bytes) {
        readsAt++;
        if (down) {
            return noResponse();
        }
        if (expired) {
            return Future.failedFuture(new StoreException(StoreException.Reason.EXPIRED, "expired"));
        }
        List<KeyedRecord> log = log(partition);
        int end = (int) offset + 1;
        int size = log.get((int) offset).value().length;
        while (end < log.size()
                && end - offset < sliceSize
                && size + log.get(end).value().length <= bytes) {
            size += log.get(end).value().length;
            end++;
        }
        return Future.succeededFuture(new LogSlice(offset, log.subList((int) offset, end), log.size()));
    }

    /** Lets the records of a partition expire; the newest record of each key is kept. */
    public void expireHistory(Partition partition) {
        firstOffsets.put(partition, log(partition).size());
    }

    /** Lets reads at an offset find that the record has expired. */
    public void expireHistory() {
        expired = true;
    }

    /** Returns the number of reads at an offset. */
    public int readsAt() {
        return readsAt;
    }

    @Override
    public Future<KeyedPage> newest(Partition partition, String after) {
        pageReads++;
        if (down || failedPageReads.remove(pageReads)) {
            return noResponse();
        }
        NavigableMap<String, KeyedRecord> newest = new TreeMap<>();
        for (KeyedRecord record : log(partition)) {
            if (record.deletion()) {
                newest.remove(record.key());
            } else {
                newest.put(record.key(), record);
            }
        }
        Collection<KeyedRecord> rest = newest.tailMap(after, false).values();
        return Future.succeededFuture(new KeyedPage(
                rest.stream().limit(pageSize).toList(), log(partition).size(), rest.size() > pageSize));
    }

    @Override
    public void renewConnections() {
        renewals++;
    }

    /** Returns how often connections were renewed. */
    public int renewals() {
        return renewals;
    }

    @Override
    public Future<Long> append(Partition partition, long expectedEnd, List<KeyedRecord> records) {
        appends.merge(partition.topic(), 1, Integer::sum);
        if (down) {
            return noResponse();
        }
        Deque<AppendOutcome> outcomes = nextOutcomesByTopic.getOrDefault(partition.topic(), nextOutcomes);
        AppendOutcome outcome = outcomes.isEmpty() ? AppendOutcome.NORMAL : outcomes.poll();
        boolean tooLong =
                records.stream().anyMatch(record -> 1 + record.key().length() + record.value().length > maxRecordBytes);
        if (outcome == AppendOutcome.REJECTED || tooLong) {
            return Future.failedFuture(new StoreException(StoreException.Reason.REJECTED, "busy"));
        }
        if (outcome == AppendOutcome.HANGING) {
            return Promise.<Long>promise().future();
        }
        if (outcome == AppendOutcome.LATE) {
            lateAppends.add(() -> execute(partition, expectedEnd, records));
            return noResponse();
        }
        Future<Long> response = execute(partition, expectedEnd, records);
        return outcome == AppendOutcome.ANSWER_LOST ? noResponse() : response;
    }

    private Future<Long> execute(Partition partition, long expectedEnd, List<KeyedRecord> records) {
        List<KeyedRecord> log = log(partition);
        if (expectedEnd != ANY_END && expectedEnd != log.size()) {
            return Future.failedFuture(new StoreException(StoreException.Reason.CONFLICT, "ends at " + log.size()));
        }
        long offset = log.size();
        log.addAll(records);
        if (!holdPolls) {
            List<Runnable> polls = List.copyOf(waitingPolls);
            waitingPolls.clear();
            polls.forEach(Runnable::run);
        }
        return Future.succeededFuture(offset);
    }

    private static <T> Future<T> noResponse() {
        return Future.failedFuture(new StoreException(StoreException.Reason.UNKNOWN, "no response"));
    }
}
