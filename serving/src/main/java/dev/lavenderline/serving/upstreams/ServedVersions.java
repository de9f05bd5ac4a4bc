package dev.lavenderline.serving.upstreams;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.workspaces.ClockReading;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The software versions that were in service while streams that are resumed now may have begun, and whether that is
 * known completely.
 *
 * <p>Invariant: a version counts as the only one on which a stream can have begun only if no other one is listed, was
 * listed in the {@link #period} before the resumption or is recorded in the store, and if that period is covered. Its
 * beginning: this node, or one that it hears from, has followed the list of upstreams since then, or a record proves
 * what was in service before. Its end: the list was read by a read that was sent after the resumption had arrived. What
 * a response shows is as old as the read, however late the response is handled, and reads of the store are
 * linearizable. Not thread-safe; confined to the event loop.
 */
public final class ServedVersions {
    /** Age up to which streams may be resumed, whatever the time-outs of their routes. */
    static final Duration LEAST_STREAM_AGE = Duration.ofSeconds(15);

    /** Time by which the list of a node that follows the store may be out of date. */
    static final Duration LIST_LAG = Duration.ofSeconds(3);

    /** Lower bound of {@link #period}. */
    public static final Duration LEAST_PERIOD = LEAST_STREAM_AGE.plus(LIST_LAG);

    /** Age of the list up to which this node states it to others; polls are sent up to 2.4 s apart. */
    static final Duration MAX_LIST_AGE = LIST_LAG;

    /**
     * Time after the arrival of a resumption in which a read of the list may complete what is known. A read takes
     * milliseconds; callers give up after 2 s without data.
     */
    static final Duration MAX_READ_WAIT = Duration.ofSeconds(1);

    /**
     * Time after a start within which the records may complete the proof: the lag, the poll that ends after it, and the
     * pause before that poll.
     */
    static final Duration PROOF_TIME = LIST_LAG.plusMillis(1500);

    private final Ticker ticker;
    private final Supplier<Set<ServiceVersion>> listed;

    /** By version, when it was last known to be listed; versions that are listed now may be missing. */
    private final Map<ServiceVersion, Long> lastListed = new HashMap<>();

    /** The recorded versions, and whether their records are settled. */
    private final Map<ServiceVersion, Boolean> recorded = new HashMap<>();

    private Optional<Followed> list = Optional.empty();
    private Optional<Followed> records = Optional.empty();
    private long completeSinceNanos;
    private Runnable readRequest = () -> {};
    private Supplier<Duration> longestTimeout = () -> Duration.ZERO;

    /** The largest age of streams so far, and until when it applies although the longest time-out is shorter now. */
    private Duration heldStreamAge = LEAST_STREAM_AGE;

    private long heldUntilNanos;

    /** How the version on which a stream has to continue was found, or why it was not. */
    public enum Cause {
        /** A node has reported where the stream began. */
        REPORTED,
        /** The list was followed for long enough, and there was one version. */
        OBSERVED,
        /** Records prove that there was one version. */
        RECORDED,
        /** Several versions are or were in service. */
        SEVERAL_VERSIONS,
        /** There is one version, but others may have been in service. */
        NOT_OBSERVED,
        /** There was one version, but others may have joined since the list was read. */
        LIST_OUTDATED,
        /** The service has no upstream. */
        NO_VERSION,
        /** The version is known, but it has no upstream that may continue the stream. */
        NO_UPSTREAM
    }

    /**
     * The version on which a stream has to continue.
     *
     * @param served the version and its service, empty if they are not known
     */
    public record Conclusion(Optional<ServiceVersion> served, Cause cause) {}

    /** When a partition was loaded, and when the latest read up to its end after that was sent. */
    private record Followed(long loadedNanos, Optional<ClockReading> asked) {
        boolean askedAfter(long nanos) {
            return asked.map(reading -> reading.nanos() - nanos > 0).orElse(false);
        }
    }

    ServedVersions(Ticker ticker, Supplier<Set<ServiceVersion>> listed) {
        this.ticker = ticker;
        this.listed = listed;
        this.heldUntilNanos = ticker.nanos();
    }

    /** Sets what requests a read of the list, and of the records while the period is not observed. */
    public void requestReadsWith(Runnable request) {
        readRequest = request;
    }

    /** Sets the longest time-out of the routes whose streams may be resumed. */
    public void streamsLast(Supplier<Duration> timeout) {
        longestTimeout = timeout;
    }

    /**
     * Returns the largest age of a stream that is resumed, as its caller does so before the deadline of its first
     * attempt. A shorter time-out applies once the streams are over that began under a longer one.
     */
    public Duration maxStreamAge() {
        long now = ticker.nanos();
        Duration timeout = longestTimeout.get();
        if (timeout.compareTo(heldStreamAge) >= 0 || now - heldUntilNanos >= 0) {
            heldStreamAge = timeout.compareTo(LEAST_STREAM_AGE) > 0 ? timeout : LEAST_STREAM_AGE;
            heldUntilNanos = now + heldStreamAge.toNanos();
        }
        return heldStreamAge;
    }

    /**
     * Returns the period before a resumption that has to be known; another node may use an upstream for the lag after
     * this one saw it removed.
     */
    public Duration period() {
        return maxStreamAge().plus(LIST_LAG);
    }

    private Followed loaded() {
        return new Followed(ticker.nanos(), Optional.empty());
    }

    private Followed confirmed(Followed earlier, ClockReading asked) {
        ClockReading latest =
                earlier.asked().map(known -> asked.younger(known, ticker)).orElse(asked);
        return new Followed(earlier.loadedNanos(), Optional.of(latest));
    }

    /** Records that the list has been loaded; what was listed between an earlier state and this one is not known. */
    void listLoaded() {
        list = Optional.of(loaded());
        completeSinceNanos = ticker.nanos();
    }

    /**
     * Records that all changes of the list since it was loaded have been seen.
     *
     * @param asked when the read was sent that showed the last ones
     */
    public void listConfirmed(ClockReading asked) {
        list = list.map(followed -> confirmed(followed, asked));
    }

    /** Records that a version was listed until now. */
    void unlisted(ServiceVersion version) {
        lastListed.put(version, ticker.nanos());
    }

    /** Records that the records have been loaded. */
    public void recordsLoaded() {
        records = Optional.of(loaded());
    }

    /** Records that all records have been seen that were there when a read was sent. */
    public void recordsConfirmed(ClockReading asked) {
        records = records.map(followed -> confirmed(followed, asked));
    }

    /** Replaces the recorded versions, with whether their records are settled. */
    public void replaceRecorded(Map<ServiceVersion, Boolean> current) {
        recorded.clear();
        recorded.putAll(current);
    }

    /**
     * Adds what another node knows now.
     *
     * @param ages time since versions were last listed, zero for those that are
     * @param complete time for which these are all versions, zero if the node does not know that
     */
    public void heard(Map<ServiceVersion, Duration> ages, Duration complete) {
        long now = ticker.nanos();
        ages.forEach((version, age) -> lastListed.merge(version, now - age.toNanos(), Math::max));
        // Loading the list sets this again: what is heard before that does not reach up to the own list.
        completeSinceNanos = Math.min(completeSinceNanos, now - complete.toNanos());
    }

    /** Returns the versions that were listed in the last {@link #period}, with the time since then. */
    public Map<ServiceVersion, Duration> ages() {
        long now = ticker.nanos();
        // A resumption waits for a while, and looks at the period before its arrival.
        long retentionNanos = period().plus(maxStreamAge()).toNanos();
        lastListed.values().removeIf(listedNanos -> now - listedNanos > retentionNanos);
        Map<ServiceVersion, Duration> ages = new HashMap<>();
        listedSince(now - period().toNanos())
                .forEach(version -> ages.put(version, Duration.ofNanos(now - lastListed.get(version))));
        listed.get().forEach(version -> ages.put(version, Duration.ZERO));
        return ages;
    }

    /** Returns the versions that are not listed any more, but were at a monotonic time or later. */
    private Set<ServiceVersion> listedSince(long nanos) {
        Set<ServiceVersion> versions = new HashSet<>();
        lastListed.forEach((version, listedNanos) -> {
            if (listedNanos - nanos >= 0) {
                versions.add(version);
            }
        });
        return versions;
    }

    /** Returns the time for which {@link #ages} is complete, zero if the list may be out of date. */
    public Duration complete() {
        return fresh() ? Duration.ofNanos(ticker.nanos() - completeSinceNanos) : Duration.ZERO;
    }

    private boolean fresh() {
        return listAge().compareTo(MAX_LIST_AGE) <= 0;
    }

    /** Returns the time since the list was last known to be complete, a day if it never was. */
    public Duration listAge() {
        return list.flatMap(Followed::asked).map(asked -> asked.age(ticker)).orElse(Duration.ofDays(1));
    }

    /** Returns whether the whole period is covered without the records. */
    public boolean observed() {
        return complete().compareTo(period()) >= 0;
    }

    /**
     * Returns the version of all upstreams of some services on which a stream can have begun.
     *
     * @param beganBeforeNanos monotonic time at which the request to resume the stream had arrived
     */
    public Conclusion only(Set<String> services, long beganBeforeNanos) {
        long periodStart = beganBeforeNanos - period().toNanos();
        Set<ServiceVersion> versions = listedSince(periodStart);
        versions.addAll(listed.get());
        versions.addAll(recorded.keySet());
        versions.removeIf(version -> !services.contains(version.service()));
        if (versions.size() != 1) {
            return new Conclusion(Optional.empty(), versions.isEmpty() ? Cause.NO_VERSION : Cause.SEVERAL_VERSIONS);
        }
        ServiceVersion only = versions.iterator().next();
        boolean observed = list.isPresent() && completeSinceNanos - periodStart <= 0;
        boolean recordable = settled(only) && loadedBeforeLag(list) && loadedBeforeLag(records);
        if (!observed && !recordable) {
            return new Conclusion(Optional.empty(), Cause.NOT_OBSERVED);
        }
        boolean followed = observed || (followedForLag(list) && followedForLag(records));
        if (!followed || !list.get().askedAfter(beganBeforeNanos)) {
            return new Conclusion(Optional.empty(), Cause.LIST_OUTDATED);
        }
        return new Conclusion(Optional.of(only), observed ? Cause.OBSERVED : Cause.RECORDED);
    }

    private boolean settled(ServiceVersion version) {
        return recorded.getOrDefault(version, false);
    }

    /** Returns whether what other nodes wrote before the partition was loaded has been read, although they may lag. */
    private static boolean followedForLag(Optional<Followed> partition) {
        return partition
                .map(followed -> followed.askedAfter(followed.loadedNanos() + LIST_LAG.toNanos() - 1))
                .orElse(false);
    }

    private boolean loadedBeforeLag(Optional<Followed> partition) {
        return partition
                .map(followed -> ticker.nanos() - followed.loadedNanos() >= LIST_LAG.toNanos())
                .orElse(false);
    }

    /**
     * Returns whether the only version on which a stream can have begun, which {@link #only} did not return, may be
     * known soon. Requests the read that this takes.
     */
    public boolean seek(Set<String> services, long beganBeforeNanos) {
        return switch (only(services, beganBeforeNanos).cause()) {
            case LIST_OUTDATED -> {
                boolean inTime = starting() || ticker.nanos() - beganBeforeNanos < MAX_READ_WAIT.toNanos();
                if (inTime) {
                    readRequest.run();
                }
                yield inTime;
            }
            case NOT_OBSERVED -> starting() && (records.isEmpty() || settledRecord(services));
            default -> false;
        };
    }

    /** Returns whether records may soon prove what was in service before this process was there. */
    private boolean starting() {
        return list.map(followed -> ticker.nanos() - followed.loadedNanos() < PROOF_TIME.toNanos())
                .orElse(false);
    }

    private boolean settledRecord(Set<String> services) {
        return recorded.entrySet().stream()
                .anyMatch(entry -> services.contains(entry.getKey().service()) && entry.getValue());
    }
}
