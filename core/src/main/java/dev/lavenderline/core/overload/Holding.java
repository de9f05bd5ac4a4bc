package dev.lavenderline.core.overload;

import java.time.Duration;

/**
 * What a connection makes its process hold, at one moment. Immutable.
 *
 * @param bytes held memory
 * @param stage what the connection is doing
 * @param sinceProgress time since the stage began or its peer last took or sent what the stage waits for
 */
public record Holding(long bytes, Stage stage, Duration sinceProgress) {
    /** What a connection is doing. */
    public enum Stage {
        /** No request has begun. */
        IDLE,
        /** A part of a request has been received; the process has not begun to work on it. */
        RECEIVING,
        /** The process works on a request. */
        SERVING,
        /** The peer does not read a response as fast as it is written. */
        SENDING,
        /** The connection has been given up and is about to close. */
        CLOSING
    }
}
