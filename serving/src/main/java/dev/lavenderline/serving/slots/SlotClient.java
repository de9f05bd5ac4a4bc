package dev.lavenderline.serving.slots;

import dev.lavenderline.serving.upstreams.UpstreamNotice;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Client of the scheduler for a node's requests and items. Called on the event loop. */
public interface SlotClient {
    /** Receives the decision on a request; called once, not before {@link #acquire} has returned. */
    interface Listener {
        /** The request may be sent to the upstream; the slot has to be released afterwards. */
        void granted(String upstream);

        /** The request gets no slot; the caller may retry after the delay. */
        void rejected(Duration retryAfter);
    }

    /** Returns a number for a new lease. */
    long newLease();

    /** Requests a slot. */
    void acquire(SlotRequest request, Listener listener);

    /**
     * Releases a slot, or withdraws a request without a decision.
     *
     * @param keptEvents output events of an item that the node keeps to resume the run from
     */
    void release(long lease, ReleaseReason reason, int keptEvents);

    /** Reports that the first event of an attempt was generated on a software version. */
    void streamBegan(String attempt, String version);

    /** Reports that a request with these shared prompt parts has completed. */
    void promptCompleted(List<Long> parts);

    /** Reports that an engine has crashed under a request with these shared prompt parts, about to be answered. */
    void promptCrashed(List<Long> parts, String upstream);

    /** Returns the time for which requests with these parts are rejected, empty if they are served. */
    Optional<Duration> promptRejectedFor(List<Long> parts);

    /** Returns the software version on which a stream has to continue, empty if this node does not know it. */
    Optional<String> versionOf(String service, StreamOrigin origin);

    /** Reports what an upstream has said of itself in a response. */
    void upstreamNotice(UpstreamNotice notice);

    /** Reports that an upstream has stopped responding. */
    void suspect(String upstream);
}
