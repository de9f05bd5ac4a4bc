package dev.lavenderline.serving.store;

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
import java.util.Set;
import java.util.TreeMap;

/**
 * Store in memory with conditional appends and keyed topics. A poll
 * ends with the next append. A test decides what happens to each append. Not thread-safe.
 */
public final class FakeStore implements MetadataStore {
    /** What happens to an append. */
    public enum Fate {
        NORMAL,
        /** Done, but its answer is lost. */
        ANSWER_LOST,
        /** Nothing is done and the store says so. */
        REJECTED,
        /** No answer; done when the test says so, if the condition holds then. */
        LATE
    }

    private final Map<Partition, List<KeyedRecord>> logs = new HashMap<>();
    private final Deque<Fate> fates = new ArrayDeque<>();
    private final List<Runnable> late = new ArrayList<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private boolean down;
    private boolean pollsHeld;
    private int appends;
    private int pages;
    private int pageSize = Integer.MAX_VALUE;
    private final Set<Integer> failedPages = new HashSet<>();

    /** Sets what happens to the next appends; later ones are normal. */
    public void next(Fate... some) {
        fates.addAll(List.of(some));
    }

    /** Lets no call through, or again all. */
    public void down(boolean value) {
        down = value;
    }

    /** Keeps polls waiting although records are there, or again not. */
    public void holdPolls(boolean value) {
        pollsHeld = value;
    }

    /** Limits the records of a page of newest records. */
    public void pageSize(int records) {
        pageSize = records;
    }

    /** Lets some calls for pages, counted from 1, go unanswered. */
    public void failPages(Integer... calls) {
        failedPages.addAll(List.of(calls));
    }

    /** Returns the number of calls for pages. */
    public int pages() {
        return pages;
    }

    /** Executes the appends that were late. */
    public void runLate() {
        late.forEach(Runnable::run);
        late.clear();
    }

    /** Returns the number of appends that arrived. */
    public int appends() {
        return appends;
    }

    /** Returns all records of a partition. */
    public List<KeyedRecord> log(Partition partition) {
        return logs.computeIfAbsent(partition, key -> new ArrayList<>());
    }

    @Override
    public Future<LogSlice> read(Partition partition, long from, Duration wait) {
        if (down) {
            return unanswered();
        }
        List<KeyedRecord> log = log(partition);
        if ((pollsHeld || from >= log.size()) && !wait.isZero()) {
            Promise<LogSlice> promise = Promise.promise();
            waiting.add(() -> read(partition, from, Duration.ZERO).onComplete(promise));
            return promise.future();
        }
        int first = (int) Math.min(from, log.size());
        return Future.succeededFuture(new LogSlice(first, log.subList(first, log.size()), log.size()));
    }

    @Override
    public Future<KeyedPage> newest(Partition partition, String after) {
        pages++;
        if (down || failedPages.remove(pages)) {
            return unanswered();
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
    public Future<Long> append(Partition partition, long expectedEnd, List<KeyedRecord> records) {
        appends++;
        if (down) {
            return unanswered();
        }
        Fate fate = fates.isEmpty() ? Fate.NORMAL : fates.poll();
        if (fate == Fate.REJECTED) {
            return Future.failedFuture(new StoreException(StoreException.Reason.REJECTED, "busy"));
        }
        if (fate == Fate.LATE) {
            late.add(() -> execute(partition, expectedEnd, records));
            return unanswered();
        }
        Future<Long> answer = execute(partition, expectedEnd, records);
        return fate == Fate.ANSWER_LOST ? unanswered() : answer;
    }

    private Future<Long> execute(Partition partition, long expectedEnd, List<KeyedRecord> records) {
        List<KeyedRecord> log = log(partition);
        if (expectedEnd != ANY_END && expectedEnd != log.size()) {
            return Future.failedFuture(new StoreException(StoreException.Reason.CONFLICT, "ends at " + log.size()));
        }
        log.addAll(records);
        if (!pollsHeld) {
            List<Runnable> polls = List.copyOf(waiting);
            waiting.clear();
            polls.forEach(Runnable::run);
        }
        return Future.succeededFuture((long) log.size());
    }

    private static <T> Future<T> unanswered() {
        return Future.failedFuture(new StoreException(StoreException.Reason.UNKNOWN, "no answer"));
    }
}
