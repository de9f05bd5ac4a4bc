package dev.lavenderline.serving.upstreams;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.time.Instant;
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
 * <p>Invariant: a version counts as the only one of a service only if no other one is listed, was listed in the last
 * {@link #PERIOD} or is recorded in the store, and if the whole period is covered: this node, or one that it hears
 * from, has followed the list of upstreams for that time, or a record proves what was in service before. Not
 * thread-safe; confined to the event loop.
 */
public final class ServedVersions {
    /** Largest age of a stream that is resumed; its caller does so before the deadline of its first attempt. */
    public static final Duration MAX_STREAM_AGE = Duration.ofSeconds(15);

    /** Time by which what is read from the store may be out of date. */
    static final Duration LIST_LAG = Duration.ofSeconds(3);

    /** Period that has to be known; another node may use an upstream for the lag after this one saw it removed. */
    public static final Duration PERIOD = MAX_STREAM_AGE.plus(LIST_LAG);

    /** Time after the last response of the store above which the list may lack versions; polls take up to 1.4 s. */
    static final Duration MAX_LIST_AGE = Duration.ofMillis(2500);

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
        /** The service has no upstream. */
        NO_VERSION,
        /** The version is known, but it has no upstream that may continue the stream. */
        NO_UPSTREAM
    }

    /**
     * The version on which a stream has to continue.
     *
     * @param version the version, empty if it is not known
     */
    public record Conclusion(Optional<String> version, Cause cause) {}

    /** When a partition was loaded, and its latest response. The wall clock counts the time of a suspension. */
    private record Followed(long loadedNanos, long confirmedNanos, Instant confirmed) {}

    ServedVersions(Ticker ticker, Supplier<Set<ServiceVersion>> listed) {
        this.ticker = ticker;
        this.listed = listed;
    }

    private Followed loaded() {
        return new Followed(ticker.nanos(), ticker.nanos(), ticker.now());
    }

    private Followed confirmed(Followed earlier) {
        return new Followed(earlier.loadedNanos(), ticker.nanos(), ticker.now());
    }

    /** Records that the list has been loaded; what was listed between an earlier state and this one is not known. */
    void listLoaded() {
        list = Optional.of(loaded());
        completeSinceNanos = ticker.nanos();
    }

    /** Records that the list is up to date, and that all changes since it was loaded have been seen. */
    public void listConfirmed() {
        list = list.map(this::confirmed);
    }

    /** Records that a version was listed until now. */
    void unlisted(ServiceVersion version) {
        lastListed.put(version, ticker.nanos());
    }

    /** Records that the records have been loaded. */
    public void recordsLoaded() {
        records = Optional.of(loaded());
    }

    /** Records that the records are up to date. */
    public void recordsConfirmed() {
        records = records.map(this::confirmed);
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

    /** Returns the versions that were listed in the last {@link #PERIOD}, with the time since then. */
    public Map<ServiceVersion, Duration> ages() {
        long now = ticker.nanos();
        lastListed.values().removeIf(listedNanos -> now - listedNanos > PERIOD.toNanos());
        Map<ServiceVersion, Duration> ages = new HashMap<>();
        lastListed.forEach((version, listedNanos) -> ages.put(version, Duration.ofNanos(now - listedNanos)));
        listed.get().forEach(version -> ages.put(version, Duration.ZERO));
        return ages;
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
        return list.map(this::age).orElse(Duration.ofDays(1));
    }

    private Duration age(Followed followed) {
        Duration monotonic = Duration.ofNanos(ticker.nanos() - followed.confirmedNanos());
        Duration wall = Duration.between(followed.confirmed(), ticker.now());
        return monotonic.compareTo(wall) > 0 ? monotonic : wall;
    }

    /** Returns whether the whole period is covered without the records. */
    public boolean observed() {
        return complete().compareTo(PERIOD) >= 0;
    }

    /** Returns the version of all upstreams of a service that were in service in the last {@link #PERIOD}. */
    public Conclusion only(String service) {
        Set<ServiceVersion> versions = new HashSet<>(ages().keySet());
        versions.addAll(recorded.keySet());
        versions.removeIf(version -> !version.service().equals(service));
        if (versions.size() != 1) {
            return new Conclusion(Optional.empty(), versions.isEmpty() ? Cause.NO_VERSION : Cause.SEVERAL_VERSIONS);
        }
        ServiceVersion only = versions.iterator().next();
        if (observed()) {
            return new Conclusion(Optional.of(only.version()), Cause.OBSERVED);
        }
        if (settled(only) && fresh() && followedForLag(list) && followedForLag(records)) {
            return new Conclusion(Optional.of(only.version()), Cause.RECORDED);
        }
        return new Conclusion(Optional.empty(), Cause.NOT_OBSERVED);
    }

    private boolean settled(ServiceVersion version) {
        return recorded.getOrDefault(version, false);
    }

    /** Returns whether what was written before the partition was loaded has been read, although reads lag. */
    private static boolean followedForLag(Optional<Followed> partition) {
        return partition
                .map(followed -> followed.confirmedNanos() - followed.loadedNanos() >= LIST_LAG.toNanos())
                .orElse(false);
    }

    /** Returns whether records may soon prove which version of a service was the only one. */
    public boolean mayBeProven(String service) {
        boolean starting = list.map(followed -> ticker.nanos() - followed.loadedNanos() < PROOF_TIME.toNanos())
                .orElse(false);
        if (!starting || only(service).cause() != Cause.NOT_OBSERVED) {
            return false;
        }
        return records.isEmpty()
                || recorded.entrySet().stream()
                        .anyMatch(entry -> entry.getKey().service().equals(service) && entry.getValue());
    }
}
