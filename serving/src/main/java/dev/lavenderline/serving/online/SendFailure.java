package dev.lavenderline.serving.online;

import dev.lavenderline.serving.slots.LeaseEnd;

/** Reason why an upstream did not return a complete response. */
public enum SendFailure {
    /** No connection could be opened; the request has not run. */
    NOT_CONNECTED(false, LeaseEnd.UPSTREAM_UNREACHABLE),
    /** The upstream reported that it did not run the request. */
    NOT_EXECUTED(false, LeaseEnd.UPSTREAM_FULL),
    /** Another upstream now has the address; the request has not run. */
    OTHER_INSTANCE(false, LeaseEnd.UPSTREAM_GONE),
    /** No response or a malformed one; the request may have run. */
    LOST(true, LeaseEnd.ANSWER_LOST),
    /** The upstream returned a failure status; the request may have run. */
    FAILURE_STATUS(true, LeaseEnd.UPSTREAM_FAILED),
    /** The response was truncated; the request has run. */
    CUT(true, LeaseEnd.ANSWER_LOST);

    private final boolean mayHaveRun;
    private final LeaseEnd leaseEnd;

    SendFailure(boolean mayHaveRun, LeaseEnd leaseEnd) {
        this.mayHaveRun = mayHaveRun;
        this.leaseEnd = leaseEnd;
    }

    /** Returns whether the upstream may have run the request. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the reason with which the slot of the request is released. */
    public LeaseEnd leaseEnd() {
        return leaseEnd;
    }
}
