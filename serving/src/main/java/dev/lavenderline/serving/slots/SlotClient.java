package dev.lavenderline.serving.slots;

import java.time.Duration;

/** What a node's requests and items ask of the scheduler. Called on the event loop. */
public interface SlotClient {
    /** Receives the decision on a request; called once, not before {@link #acquire} has returned. */
    interface Listener {
        /** The request may be sent; the slot has to be released afterwards. */
        void granted(String upstream);

        /** The request gets no slot now. */
        void rejected(Duration retryAfter);
    }

    /** Returns a number for a new lease. */
    long newLease();

    /** Asks for a slot. */
    void acquire(SlotRequest request, Listener listener);

    /** Gives a slot back, or withdraws a request without a decision. */
    void release(long lease, LeaseEnd end, int keptEvents);

    /** Reports that an upstream is silent. */
    void suspect(String upstream);
}
