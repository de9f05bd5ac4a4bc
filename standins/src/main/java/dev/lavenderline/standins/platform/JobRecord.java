package dev.lavenderline.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;

/**
 * What a client saw of a batch job. Times are in seconds of the history.
 *
 * <p>Thread-safe: guarded by its lock.
 */
public final class JobRecord {
    /**
     * An item of a batch job.
     *
     * @param events number of events of its whole output
     */
    public record Item(String id, int events) {}

    /** A result as it was read. */
    public record Listing(String item, String state, String output) {}

    private final String id;
    private final List<Item> items;
    private final List<Integer> submissions = new ArrayList<>();
    private final Map<Integer, Listing> listings = new TreeMap<>();
    private final List<String> changedListings = new ArrayList<>();
    private final List<String> missing = new ArrayList<>();
    private final List<Integer> totals = new ArrayList<>();
    private OptionalDouble accepted = OptionalDouble.empty();
    private boolean endAsked;
    private OptionalDouble endAcknowledged = OptionalDouble.empty();

    public JobRecord(String id, List<Item> items) {
        this.id = id;
        this.items = List.copyOf(items);
    }

    public String id() {
        return id;
    }

    public List<Item> items() {
        return items;
    }

    /** Records the status of a submission, 0 if there was none. */
    public synchronized void submitted(int status, double time) {
        submissions.add(status);
        if (status == 202 && accepted.isEmpty()) {
            accepted = OptionalDouble.of(time);
        }
    }

    /** Records that the client asks for the end. */
    public synchronized void endAsked() {
        endAsked = true;
    }

    /** Records that a node has acknowledged the end. */
    public synchronized void endAcknowledged(double time) {
        endAcknowledged = endAcknowledged.isPresent() ? endAcknowledged : OptionalDouble.of(time);
    }

    /** Records a result; the same position has to hold the same result each time. */
    public synchronized void listed(int position, Listing listing, String node) {
        Listing before = listings.putIfAbsent(position, listing);
        if (before != null && !before.equals(listing)) {
            changedListings.add("position " + position + " at " + node + ": " + listing + " after " + before);
        }
    }

    /** Records the number of items that a node named. */
    public synchronized void total(int total) {
        totals.add(total);
    }

    /** Records that a node in touch did not have the batch job, or a result that had been read. */
    public synchronized void missing(String text) {
        missing.add(text);
    }

    public synchronized List<Integer> submissions() {
        return List.copyOf(submissions);
    }

    public synchronized Map<Integer, Listing> listings() {
        return new TreeMap<>(listings);
    }

    public synchronized List<String> changedListings() {
        return List.copyOf(changedListings);
    }

    public synchronized List<String> missing() {
        return List.copyOf(missing);
    }

    public synchronized List<Integer> totals() {
        return List.copyOf(totals);
    }

    public synchronized OptionalDouble accepted() {
        return accepted;
    }

    public synchronized boolean isEndAsked() {
        return endAsked;
    }

    public synchronized OptionalDouble endAcknowledged() {
        return endAcknowledged;
    }

    /** Returns whether each item is listed. */
    public synchronized boolean whole() {
        return items.stream()
                .allMatch(item -> listings.values().stream()
                        .anyMatch(listing -> listing.item().equals(item.id())));
    }

    /** Returns an item by its id. */
    public Optional<Item> item(String itemId) {
        return items.stream().filter(item -> item.id().equals(itemId)).findFirst();
    }
}
