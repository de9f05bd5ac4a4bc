package dev.lavenderline.serving.jobs;

import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.proto.jobs.JobPart;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * A batch job in the ledger.
 *
 * <p>Invariants: results stand at the positions that their records name, without gaps once all records are read; an
 * item has at most one result. Not thread-safe; confined to the event loop.
 */
public final class Job {
    private final JobPart head;
    private final long acceptedNanos;
    private final JobItem[] items;
    private final ItemResult[] resultsByItem;
    private final List<ItemResult> results = new ArrayList<>();
    private final int[] failures;
    private int partsSeen;
    private int resultCount;
    private long unfinishedTokens;
    private boolean ended;

    /**
     * Creates a job from one of its parts.
     *
     * @param acceptedNanos time at which it was accepted, on the ticker's scale
     */
    Job(JobPart head, long acceptedNanos) {
        this.head = head;
        this.acceptedNanos = acceptedNanos;
        this.items = new JobItem[head.getItemsTotal()];
        this.resultsByItem = new ItemResult[head.getItemsTotal()];
        this.failures = new int[head.getItemsTotal()];
    }

    void addPart(JobPart part) {
        int first = part.getFirstItem();
        if (items[first] != null) {
            return;
        }
        partsSeen++;
        for (int i = 0; i < part.getItemsCount(); i++) {
            items[first + i] = part.getItems(i);
            if (resultsByItem[first + i] == null) {
                unfinishedTokens += part.getItems(i).getTokens();
            }
        }
    }

    /** Returns whether the result is new. */
    boolean addResult(ItemResult result) {
        if (resultsByItem[result.getItem()] != null) {
            return false;
        }
        resultsByItem[result.getItem()] = result;
        while (results.size() <= result.getPosition()) {
            results.add(null);
        }
        results.set(result.getPosition(), result);
        resultCount++;
        if (items[result.getItem()] != null) {
            unfinishedTokens -= items[result.getItem()].getTokens();
        }
        return true;
    }

    void setFailures(int item, int count) {
        failures[item] = Math.max(failures[item], count);
    }

    void end() {
        ended = true;
    }

    public String id() {
        return head.getJob();
    }

    /** Returns the name of the route on which the job was submitted. */
    public String route() {
        return head.getRoute();
    }

    /** Returns the value of the Host header of its items. */
    public String host() {
        return head.getHost();
    }

    /** Returns whether all parts have been read. */
    public boolean complete() {
        return partsSeen == head.getParts();
    }

    /** Returns the number of records that hold its items. */
    int parts() {
        return head.getParts();
    }

    /** Returns the largest number of failed runs of an item. */
    public int attempts() {
        return head.getAttempts();
    }

    /** Returns the time at which the job was accepted, on the ticker's scale. */
    public long acceptedNanos() {
        return acceptedNanos;
    }

    /** Returns the time at which the results are due, on the ticker's scale. */
    public long dueNanos() {
        return acceptedNanos + head.getDueInMs() * 1_000_000L;
    }

    /** Returns the time at which unfinished items may be abandoned, on the ticker's scale. */
    public long abandonNanos() {
        return acceptedNanos + head.getRetentionMs() * 1_000_000L;
    }

    public int total() {
        return items.length;
    }

    /** Returns an item, or nothing if its part has not been read. */
    public Optional<JobItem> item(int index) {
        return index < 0 || index >= items.length ? Optional.empty() : Optional.ofNullable(items[index]);
    }

    /** Returns the index of the item with an id, -1 if there is none. */
    public int indexOf(String itemId) {
        for (int i = 0; i < items.length; i++) {
            if (items[i] != null && items[i].getId().equals(itemId)) {
                return i;
            }
        }
        return -1;
    }

    public boolean hasResult(int index) {
        return resultsByItem[index] != null;
    }

    public int failures(int index) {
        return failures[index];
    }

    /** Returns the number of results. */
    public int resultCount() {
        return resultCount;
    }

    /** Returns the results from a position on, up to the first one that has not been read. */
    public List<ItemResult> resultsFrom(int position) {
        if (position >= results.size()) {
            return List.of();
        }
        List<ItemResult> some = results.subList(Math.max(0, position), results.size());
        int gap = some.indexOf(null);
        return gap < 0 ? some : some.subList(0, gap);
    }

    /** Returns the tokens of the items without a result; none if the job has ended. */
    public long unfinishedTokens() {
        return ended ? 0 : unfinishedTokens;
    }

    /** Returns whether the caller ended the job. */
    public boolean ended() {
        return ended;
    }

    /** Returns whether items may still run. */
    public boolean open() {
        return !ended && resultCount < items.length;
    }

    @Override
    public String toString() {
        return "Job{" + id() + ", results=" + resultCount + "/" + items.length + ", failures="
                + Arrays.toString(failures) + "}";
    }
}
