package dev.lavenderline.serving.jobs;

import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.proto.jobs.JobPart;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A batch job in the ledger.
 *
 * <p>Invariants: each result is at the position given in its record, and there are no gaps once all records have been
 * read; an item has at most one result. Not thread-safe; confined to the event loop.
 */
public final class Job {
    private final JobPart metadata;
    private final long acceptedNanos;
    private final JobItem[] items;
    private final ItemResult[] resultsByItem;
    private final List<ItemResult> results = new ArrayList<>();
    private final int[] failures;

    /** The parts read so far, without their items, by the index of the first item. */
    private final NavigableMap<Integer, JobPart> partsByFirstItem = new TreeMap<>();

    private int partsRead;
    private int resultCount;
    private long unfinishedTokens;
    private boolean cancelled;

    /**
     * Creates a job without items or results.
     *
     * @param metadata any part of the job, for the fields that all parts share
     * @param acceptedNanos time at which the job was accepted, by the ticker's clock
     */
    Job(JobPart metadata, long acceptedNanos) {
        this.metadata = metadata;
        this.acceptedNanos = acceptedNanos;
        this.items = new JobItem[metadata.getItemsTotal()];
        this.resultsByItem = new ItemResult[metadata.getItemsTotal()];
        this.failures = new int[metadata.getItemsTotal()];
    }

    void addPart(JobPart part) {
        int first = part.getFirstItem();
        if (items[first] != null) {
            return;
        }
        partsRead++;
        partsByFirstItem.put(first, part.toBuilder().clearItems().build());
        for (int i = 0; i < part.getItemsCount(); i++) {
            items[first + i] = part.getItems(i);
            if (resultsByItem[first + i] == null) {
                unfinishedTokens += part.getItems(i).getTokens();
            }
        }
    }

    /** Adds a result and returns true, or returns false if the item already has one. */
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

    void cancel() {
        cancelled = true;
    }

    public String id() {
        return metadata.getJob();
    }

    /** Returns the name of the route to which the job was submitted. */
    public String route() {
        return metadata.getRoute();
    }

    /** Returns the name of the workspace that submitted the job, empty if there is none. */
    public String workspace() {
        return metadata.getWorkspace();
    }

    /** Returns the value of the Host header for requests that run its items. */
    public String host() {
        return metadata.getHost();
    }

    /** Returns the name of the node that accepted the job, empty if unknown. */
    public String acceptedBy() {
        return metadata.getAcceptedBy();
    }

    /** Returns whether all parts of the job have been read. */
    public boolean allPartsRead() {
        return partsRead == metadata.getParts();
    }

    /** Returns the number of records over which the items are split. */
    int parts() {
        return metadata.getParts();
    }

    /** Returns the number of failed runs after which an item gets a failure as its result. */
    public int maxAttempts() {
        return metadata.getAttempts();
    }

    /** Returns the time at which the job was accepted, by the ticker's clock. */
    public long acceptedNanos() {
        return acceptedNanos;
    }

    /** Returns the time at which the results are due, by the ticker's clock. */
    public long dueNanos() {
        return acceptedNanos + metadata.getDueInMs() * 1_000_000L;
    }

    /** Returns the time from which unfinished items may be abandoned, by the ticker's clock. */
    public long abandonNanos() {
        return acceptedNanos + metadata.getRetentionMs() * 1_000_000L;
    }

    public int itemCount() {
        return items.length;
    }

    /** Returns the part that contains an item, without the items; the index must be that of an item that was read. */
    JobPart partOf(int index) {
        return partsByFirstItem.floorEntry(index).getValue();
    }

    /** Returns the parts read so far, without their items. */
    Collection<JobPart> readParts() {
        return partsByFirstItem.values();
    }

    /** Returns the result of an item. */
    Optional<ItemResult> result(int index) {
        return Optional.ofNullable(resultsByItem[index]);
    }

    /**
     * Returns an item, with its content only if that is small; empty if the index is out of range or the item's part
     * has not been read.
     */
    public Optional<JobItem> item(int index) {
        return index < 0 || index >= items.length ? Optional.empty() : Optional.ofNullable(items[index]);
    }

    /** Returns the index of the item with this id, or -1 if there is none. */
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

    public int resultCount() {
        return resultCount;
    }

    /** Returns the results from a position on, up to the first gap. */
    public List<ItemResult> resultsFrom(int position) {
        if (position >= results.size()) {
            return List.of();
        }
        List<ItemResult> tail = results.subList(Math.max(0, position), results.size());
        int gap = tail.indexOf(null);
        return gap < 0 ? tail : tail.subList(0, gap);
    }

    /** Returns the tokens of the items without a result; 0 if the job was cancelled. */
    public long unfinishedTokens() {
        return cancelled ? 0 : unfinishedTokens;
    }

    /** Returns whether the caller cancelled the job. */
    public boolean cancelled() {
        return cancelled;
    }

    /** Returns whether the job was not cancelled and some items have no result yet. */
    public boolean open() {
        return !cancelled && resultCount < items.length;
    }

    @Override
    public String toString() {
        return "Job{" + id() + ", results=" + resultCount + "/" + items.length + ", failures="
                + Arrays.toString(failures) + "}";
    }
}
