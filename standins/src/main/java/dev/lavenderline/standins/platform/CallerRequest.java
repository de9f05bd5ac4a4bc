package dev.lavenderline.standins.platform;

/**
 * A request of a caller.
 *
 * @param id id of this attempt
 * @param kind kind of its route
 * @param host host of its route
 * @param path path, with a prefix of its route
 * @param events number of events of the whole stream; 0 for a request whose answer has none
 * @param lastEventId last event that the caller has; 0 for a new stream
 * @param resumes id of the attempt whose stream this one resumes; empty for a new stream
 * @param deadlineMillis how long the caller waits, in milliseconds
 * @param giveUpMillis time after which the caller closes the connection, in milliseconds; 0 for never
 */
public record CallerRequest(
        String id,
        Kind kind,
        String host,
        String path,
        int events,
        int lastEventId,
        String resumes,
        long deadlineMillis,
        long giveUpMillis) {
    /** Kind of a request; says what may be repeated. */
    public enum Kind {
        /** A stream that may run once at most. */
        STREAM(false),
        RESUMABLE_STREAM(true),
        SAFE(true),
        UNSAFE(false);

        private final boolean idempotent;

        Kind(boolean idempotent) {
            this.idempotent = idempotent;
        }

        public boolean idempotent() {
            return idempotent;
        }
    }
}
