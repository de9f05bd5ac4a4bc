package dev.lavenderline.serving.slots;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * A node's request for a slot for an online request. Immutable.
 *
 * @param node name of the requesting node
 * @param lease lease number, unique per node
 * @param service service that the request is for
 * @param timeToTarget time left until the latency target, negative if it has passed
 * @param timeToDeadline time left until the request is abandoned
 * @param excluded upstreams that must not get the request, for example because they failed it
 * @param prefix hash of the shared prompt prefix, 0 if there is none
 * @param retry whether an earlier attempt was rejected or failed
 * @param origin where the stream began that the request continues, empty for a new one
 */
public record SlotRequest(
        String node,
        long lease,
        String service,
        Duration timeToTarget,
        Duration timeToDeadline,
        Set<String> excluded,
        long prefix,
        boolean retry,
        Optional<StreamOrigin> origin) {
    /** Returns whether the request continues a stream of which it is not known where it began. */
    boolean originUnknown() {
        return origin.isPresent() && origin.get().version().isEmpty();
    }

    /** Returns this request for a stream that began on a version. */
    SlotRequest withOriginVersion(String version) {
        return new SlotRequest(
                node,
                lease,
                service,
                timeToTarget,
                timeToDeadline,
                excluded,
                prefix,
                retry,
                origin.map(known -> new StreamOrigin(Optional.of(version), known.attempt())));
    }
}
