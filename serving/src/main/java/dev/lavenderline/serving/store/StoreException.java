package dev.lavenderline.serving.store;

/** Thrown when a call to the store does not succeed. */
public final class StoreException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** Why the call failed, and whether it may have been executed. */
    public enum Reason {
        /** Not executed; the store is overloaded or refuses this host. */
        REJECTED,
        /** Not executed; the partition did not end at the expected offset. */
        CONFLICT,
        /** The requested records have expired. */
        EXPIRED,
        /** No response; the call may have been or may still be executed. */
        UNKNOWN,
        /** The response can't be decoded. */
        MALFORMED
    }

    private final Reason reason;

    public StoreException(Reason reason, String message) {
        super(message, null, false, false);
        this.reason = reason;
    }

    public Reason reason() {
        return reason;
    }

    /** Returns the reason of a failure, {@code UNKNOWN} for other exceptions since the call may have been executed. */
    public static Reason reasonOf(Throwable failure) {
        return failure instanceof StoreException known ? known.reason() : Reason.UNKNOWN;
    }
}
