package dev.lavenderline.serving.slots;

import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.upstreams.UpstreamNotice;
import dev.lavenderline.serving.workspaces.QuotaClient;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Client of the scheduler for a node's requests and items. Called on the event loop. */
public interface SlotClient {
    /** Receives the decision on a request; called once, not before {@link #acquire} has returned. */
    interface Listener {
        /** The request may be sent to the upstream; the slot has to be released afterwards. */
        void granted(String upstream);

        /** The request gets no slot; the caller may retry after the delay. */
        void rejected(Duration retryAfter);

        /** The quota of the workspace is used up until the delay is over. */
        default void overQuota(Duration retryAfter) {
            rejected(retryAfter);
        }
    }

    /** Returns a number for a new lease. */
    long newLease();

    /** Requests a slot. */
    void acquire(SlotRequest request, Listener listener);

    /**
     * Asks whether a request that needs no slot is within the quota of its workspace. The listener may be called before
     * the method returns.
     */
    void admit(String workspace, QuotaClient.Listener listener);

    /**
     * Releases a slot, or withdraws a request without a decision.
     *
     * @param keptEvents output events of an item that the node keeps to resume the run from
     */
    void release(long lease, ReleaseReason reason, int keptEvents);

    /** Reports that the first event of a stream with some names was generated on a version of a service. */
    void streamBegan(List<String> names, ServiceVersion served);

    /** Reports that a request has completed. */
    void requestCompleted(RequestTraits traits);

    /** Reports that an upstream has crashed under a request; with its prompt parts if it was about to be answered. */
    void requestCrashed(RequestTraits traits, String upstream);

    /** Returns the time for which a request is rejected because upstreams crash under it, empty if it is served. */
    Optional<Duration> rejectedFor(RequestTraits traits);

    /**
     * Finds the service and version on which a stream has to continue, which may take a read of the list of upstreams.
     * The listener receives nothing if this node does not know them; it may be called before the method returns.
     */
    void findVersion(String service, StreamOrigin origin, Consumer<Optional<ServiceVersion>> listener);

    /** Reports what an upstream has said of itself in a response. */
    void upstreamNotice(UpstreamNotice notice);

    /** Reports that an upstream has stopped responding. */
    void suspect(String upstream);
}
