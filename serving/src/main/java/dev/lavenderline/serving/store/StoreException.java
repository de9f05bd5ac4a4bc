package dev.lavenderline.serving.store;

/** A call to the store that did not succeed. */
public final class StoreException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /** What is known about the call. */
    public enum Reason {
        /** Nothing was done; the store is overloaded or refuses the host. */
        REJECTED,
        /** The condition on the end of the partition did not hold; nothing was done. */
        CONFLICT,
        /** The requested records have expired. */
        EXPIRED,
        /** No answer: the call may have been executed or may still be. */
        UNKNOWN,
        /** The store answered something that can't be read. */
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

    /** Returns the reason of a failure; anything that is not a failure of the store may have been executed. */
    public static Reason reasonOf(Throwable failure) {
        return failure instanceof StoreException known ? known.reason() : Reason.UNKNOWN;
    }
}
