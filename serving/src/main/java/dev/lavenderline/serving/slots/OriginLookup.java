package dev.lavenderline.serving.slots;

import dev.lavenderline.serving.upstreams.ServiceVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Finds the versions on which resumed streams continue whose upstreams this node chooses without a scheduler.
 *
 * <p>Invariant: each listener is called once, after at most the time for which {@link StreamVersions#seek} is true. Not
 * thread-safe; confined to the event loop.
 */
final class OriginLookup {
    private final StreamVersions streams;
    private final ResumptionCounts resumptions;
    private final List<Waiting> waiting = new ArrayList<>();

    private record Waiting(String service, StreamOrigin origin, Consumer<Optional<ServiceVersion>> listener) {}

    OriginLookup(StreamVersions streams, ResumptionCounts resumptions) {
        this.streams = streams;
        this.resumptions = resumptions;
    }

    /** Calls the listener with the version, or with none if it is not known and will not be soon. */
    void find(String service, StreamOrigin origin, Consumer<Optional<ServiceVersion>> listener) {
        Optional<ServiceVersion> version = streams.resolve(service, origin);
        if (version.isEmpty() && streams.seek(service, origin)) {
            waiting.add(new Waiting(service, origin, listener));
            return;
        }
        resumptions.decided(service, origin);
        listener.accept(version);
    }

    /** Tries the lookups again that wait; call it after each read of the list and every few hundred milliseconds. */
    void retry() {
        List<Waiting> again = List.copyOf(waiting);
        waiting.clear();
        again.forEach(lookup -> find(lookup.service(), lookup.origin(), lookup.listener()));
    }
}
