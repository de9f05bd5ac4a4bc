package dev.lavenderline.serving.slots;

import java.util.Optional;

/**
 * Where a stream began that a request continues. Immutable.
 *
 * @param version software version of the upstream that generated its first event, empty if the node does not know it
 * @param attempt id of the caller's attempt that received the first event, empty if the caller named none
 * @param beganBeforeNanos monotonic time before which the stream began: when this process received the request
 */
public record StreamOrigin(Optional<String> version, Optional<String> attempt, long beganBeforeNanos) {
    /** Returns the origin of a stream whose version is known. */
    public static StreamOrigin ofVersion(String version) {
        return new StreamOrigin(Optional.of(version), Optional.empty(), 0);
    }

    /** Returns the origin of a stream that its caller resumes, whose version is not known. */
    public static StreamOrigin ofAttempt(Optional<String> attempt, long receivedNanos) {
        return new StreamOrigin(Optional.empty(), attempt, receivedNanos);
    }

    /** Returns this origin with the version found, empty if it was not found. */
    public StreamOrigin withVersion(Optional<String> found) {
        return new StreamOrigin(found, attempt, beganBeforeNanos);
    }
}
