package dev.lavenderline.serving.online;

import dev.lavenderline.serving.slots.LeaseEnd;

/** Why an exchange with an upstream did not end with a complete answer. */
public enum SendFailure {
    /** No connection; the request has not run. */
    NOT_CONNECTED(false, LeaseEnd.UPSTREAM_UNREACHABLE),
    /** The upstream said that it did not run the request. */
    NOT_EXECUTED(false, LeaseEnd.UPSTREAM_FULL),
    /** Another upstream has the address; the request has not run. */
    OTHER_INSTANCE(false, LeaseEnd.UPSTREAM_GONE),
    /** No answer or a malformed one; the request may have run. */
    LOST(true, LeaseEnd.ANSWER_LOST),
    /** The upstream answered with a failure; the request may have run. */
    FAILURE_STATUS(true, LeaseEnd.UPSTREAM_FAILED),
    /** The answer began and was cut; the request has run. */
    CUT(true, LeaseEnd.ANSWER_LOST);

    private final boolean maybeRun;
    private final LeaseEnd leaseEnd;

    SendFailure(boolean maybeRun, LeaseEnd leaseEnd) {
        this.maybeRun = maybeRun;
        this.leaseEnd = leaseEnd;
    }

    /** Returns whether the upstream may have run the request. */
    public boolean maybeRun() {
        return maybeRun;
    }

    /** Returns what the failure means for the slot. */
    public LeaseEnd leaseEnd() {
        return leaseEnd;
    }
}
