package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.upstreams.ServedVersions.Cause;
import dev.lavenderline.serving.upstreams.ServedVersions.Conclusion;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The services and software versions of the upstreams on which recent streams began, by the id of the caller's attempt
 * and by the hash of the request. Holds what this node knows: its own streams and those that other nodes have reported
 * to it.
 *
 * <p>Invariants: entries are in the order of their times; a name under which streams began on different upstreams names
 * none of them. Not thread-safe; confined to the event loop.
 */
public final class StreamVersions {
    /** Largest number of entries, about 150 bytes each; two for each of the streams that a scheduler places. */
    static final int MAX_ENTRIES = 15_000;

    private final Ticker ticker;
    private final UpstreamDirectory directory;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** Where a stream began, empty if streams of that name began on different upstreams. */
    private record Entry(Optional<ServiceVersion> served, long beganNanos) {}

    /** Names of streams that began on the same version of a service. Immutable. */
    public record Group(ServiceVersion served, List<String> names) {}

    public StreamVersions(Ticker ticker, UpstreamDirectory directory) {
        this.ticker = ticker;
        this.directory = directory;
    }

    /**
     * Records that the first event of a stream was generated on a version. The first report of an attempt counts. Of a
     * request's content, differing reports make each other void, as they are of different streams.
     */
    public void record(String name, ServiceVersion served) {
        expire();
        Entry known = entries.putIfAbsent(name, new Entry(Optional.of(served), ticker.nanos()));
        if (known != null && StreamOrigin.isContentName(name) && !known.served().equals(Optional.of(served))) {
            entries.put(name, new Entry(Optional.empty(), known.beganNanos()));
        }
    }

    /** Records the streams of a group. */
    public void record(Group group) {
        group.names().forEach(name -> record(name, group.served()));
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

    /** Returns where the stream of a name began, empty if it is not known. */
    Optional<ServiceVersion> find(String name) {
        return Optional.ofNullable(entries.get(name)).flatMap(Entry::served);
    }

    /**
     * Returns where a stream has to continue. If nobody has reported where the stream began, it is the only version of
     * the route's services, if that is known to have been the only one.
     */
    Conclusion conclude(String service, StreamOrigin origin) {
        return origin.served()
                .or(() -> origin.names().stream()
                        .map(this::find)
                        .flatMap(Optional::stream)
                        .findFirst())
                .map(served -> new Conclusion(Optional.of(served), Cause.REPORTED))
                .orElseGet(() -> directory.servedVersions().only(services(service, origin), origin.beganBeforeNanos()));
    }

    private static Set<String> services(String service, StreamOrigin origin) {
        return origin.services().isEmpty() ? Set.of(service) : origin.services();
    }

    /** Returns the service and version on which a stream has to continue, empty if they are not known. */
    public Optional<ServiceVersion> resolve(String service, StreamOrigin origin) {
        return conclude(service, origin).served();
    }

    /**
     * Returns whether the version on which a stream has to continue, which is not known, may become known soon. Asks
     * for the read of the list that it takes, after which the caller has to resolve the origin again.
     */
    boolean seek(String service, StreamOrigin origin) {
        return directory.servedVersions().seek(services(service, origin), origin.beganBeforeNanos());
    }

    /** Returns the time since the list of upstreams was last known to be complete, a day if it never was. */
    Duration listAge() {
        return directory.servedVersions().listAge();
    }

    /** Returns all entries that name a stream, grouped by version. */
    public List<Group> groups() {
        expire();
        Map<ServiceVersion, List<String>> names = new LinkedHashMap<>();
        entries.forEach((name, entry) -> entry.served()
                .ifPresent(served ->
                        names.computeIfAbsent(served, key -> new ArrayList<>()).add(name)));
        return names.entrySet().stream()
                .map(group -> new Group(group.getKey(), List.copyOf(group.getValue())))
                .toList();
    }
}
