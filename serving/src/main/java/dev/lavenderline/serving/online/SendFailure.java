package dev.lavenderline.serving.online;

import dev.lavenderline.serving.slots.ReleaseReason;

/** Reason why an upstream did not return a complete response. */
public enum SendFailure {
    /** No connection could be opened; the request has not run. */
    NOT_CONNECTED(false, ReleaseReason.UPSTREAM_UNREACHABLE),
    /** The upstream reported that it did not run the request. */
    NOT_EXECUTED(false, ReleaseReason.UPSTREAM_FULL),
    /** Another upstream now has the address; the request has not run. */
    OTHER_INSTANCE(false, ReleaseReason.UPSTREAM_GONE),
    /** No response or a malformed one; the request may have run. */
    LOST(true, ReleaseReason.ANSWER_LOST),
    /** The upstream returned a failure status; the request may have run. */
    FAILURE_STATUS(true, ReleaseReason.UPSTREAM_FAILED),
    /** The response was truncated; the request has run. */
    CUT(true, ReleaseReason.ANSWER_LOST);

    private final boolean mayHaveRun;
    private final ReleaseReason releaseReason;

    SendFailure(boolean mayHaveRun, ReleaseReason releaseReason) {
        this.mayHaveRun = mayHaveRun;
        this.releaseReason = releaseReason;
    }

    /** Returns whether the upstream may have run the request. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the reason with which the slot of the request is released. */
    public ReleaseReason releaseReason() {
        return releaseReason;
    }
}
