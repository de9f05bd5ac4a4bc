package dev.lavenderline.serving.slots;

import com.google.common.collect.Sets;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * A node's request for a slot for an online request. Immutable.
 *
 * @param node name of the requesting node
 * @param lease lease number, unique per node
 * @param service service that the request is for; another one of the route if it continues a stream that began there
 * @param timeToTarget time left until the latency target, negative if it has passed
 * @param timeToDeadline time left until the request is abandoned
 * @param excluded upstreams that must not get the request, for example because they failed it
 * @param prefix hash of the shared prompt prefix, 0 if there is none
 * @param retry whether an earlier attempt was rejected or failed
 * @param origin where the stream began that the request continues, empty for a new one
 * @param workspace name of the caller's workspace, empty if there is none
 * @param priority priority, 0 is the highest
 * @param charged whether the request counts toward the quota of its workspace; an earlier one for the same attempt of
 *     the caller may have counted already
 * @param promptTokens tokens of the prompt, 0 if unknown
 * @param maxOutputTokens largest number of tokens of the output, 0 if unknown
 * @param sharedTokens tokens of the shared part of the prompt, 0 if unknown
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
        Optional<StreamOrigin> origin,
        String workspace,
        int priority,
        boolean charged,
        int promptTokens,
        int maxOutputTokens,
        int sharedTokens) {
    /** Creates a request without a workspace, of the highest priority. */
    public SlotRequest(
            String node,
            long lease,
            String service,
            Duration timeToTarget,
            Duration timeToDeadline,
            Set<String> excluded,
            long prefix,
            boolean retry,
            Optional<StreamOrigin> origin) {
        this(
                node,
                lease,
                service,
                timeToTarget,
                timeToDeadline,
                excluded,
                prefix,
                retry,
                origin,
                "",
                0,
                false,
                0,
                0,
                0);
    }

    /**
     * Returns the tokens that the request adds to the memory of an engine, 0 if they are not known.
     *
     * @param prefixCached whether the engine has the shared part of the prompt already
     */
    long neededTokens(boolean prefixCached) {
        return Math.max(0, (long) promptTokens - (prefixCached ? sharedTokens : 0)) + maxOutputTokens;
    }

    /** Returns whether the request continues a stream of which it is not known where it began. */
    boolean originUnknown() {
        return origin.isPresent() && origin.get().served().isEmpty();
    }

    /** Returns this request for a stream that began on a version of a service, which is the one that it is for. */
    SlotRequest withOrigin(ServiceVersion served) {
        return new SlotRequest(
                node,
                lease,
                served.service(),
                timeToTarget,
                timeToDeadline,
                excluded,
                prefix,
                retry,
                origin.map(known -> known.with(Optional.of(served))),
                workspace,
                priority,
                charged,
                promptTokens,
                maxOutputTokens,
                sharedTokens);
    }

    /** Returns this request, which an upstream must not get. */
    SlotRequest excluding(String upstream) {
        return new SlotRequest(
                node,
                lease,
                service,
                timeToTarget,
                timeToDeadline,
                Sets.union(excluded, Set.of(upstream)).immutableCopy(),
                prefix,
                retry,
                origin,
                workspace,
                priority,
                charged,
                promptTokens,
                maxOutputTokens,
                sharedTokens);
    }
}
