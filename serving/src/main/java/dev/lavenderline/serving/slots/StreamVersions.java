package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.upstreams.ServedVersions.Cause;
import dev.lavenderline.serving.upstreams.ServedVersions.Conclusion;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The software versions of the upstreams on which recent streams began, by the id of the caller's attempt. Holds what
 * this node knows: its own streams and those that other nodes have reported to it.
 *
 * <p>Invariant: entries are in the order of their times. Not thread-safe; confined to the event loop.
 */
public final class StreamVersions {
    /** Largest number of entries, about 150 bytes each; twice the streams that one scheduler places in that time. */
    static final int MAX_ENTRIES = 15_000;

    private final Ticker ticker;
    private final UpstreamDirectory directory;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private record Entry(String version, long beganNanos) {}

    /** Streams that began on the same version. Immutable. */
    public record Group(String version, List<String> attempts) {}

    public StreamVersions(Ticker ticker, UpstreamDirectory directory) {
        this.ticker = ticker;
        this.directory = directory;
    }

    /** Records that the first event of an attempt was generated on a version; the first report of an attempt counts. */
    public void record(String attempt, String version) {
        expire();
        entries.putIfAbsent(attempt, new Entry(version, ticker.nanos()));
    }

    /** Records the streams of a group. */
    public void record(Group group) {
        group.attempts().forEach(attempt -> record(attempt, group.version()));
    }

    private void expire() {
        long now = ticker.nanos();
        long retentionNanos = directory.servedVersions().maxStreamAge().toNanos();
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            boolean expired = now - oldest.next().beganNanos() > retentionNanos;
            if (!expired && entries.size() < MAX_ENTRIES) {
                return;
            }
            oldest.remove();
        }
    }

    /** Returns the version on which the stream of an attempt began, empty if it is not known. */
    Optional<String> find(String attempt) {
        return Optional.ofNullable(entries.get(attempt)).map(Entry::version);
    }

    /**
     * Returns the version on which a stream has to continue. If nobody has reported where the stream began, it is the
     * only version of the service, if that is known to have been the only one.
     */
    Conclusion conclude(String service, StreamOrigin origin) {
        return origin.version()
                .or(() -> origin.attempt().flatMap(this::find))
                .map(version -> new Conclusion(Optional.of(version), Cause.REPORTED))
                .orElseGet(() -> directory.servedVersions().only(service, origin.beganBeforeNanos()));
    }

    /** Returns the version on which a stream has to continue, empty if it is not known. */
    public Optional<String> resolve(String service, StreamOrigin origin) {
        return conclude(service, origin).version();
    }

    /**
     * Returns whether the version on which a stream has to continue, which is not known, may become known soon. Asks
     * for the read of the list that it takes, after which the caller has to resolve the origin again.
     */
    boolean seek(String service, StreamOrigin origin) {
        return directory.servedVersions().seek(service, origin.beganBeforeNanos());
    }

    /** Returns the time since the list of upstreams was last known to be complete, a day if it never was. */
    Duration listAge() {
        return directory.servedVersions().listAge();
    }

    /** Returns all entries, grouped by version. */
    public List<Group> groups() {
        expire();
        Map<String, List<String>> attempts = new LinkedHashMap<>();
        entries.forEach((attempt, entry) -> attempts.computeIfAbsent(entry.version(), version -> new ArrayList<>())
                .add(attempt));
        return attempts.entrySet().stream()
                .map(group -> new Group(group.getKey(), List.copyOf(group.getValue())))
                .toList();
    }
}
