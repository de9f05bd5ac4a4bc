package dev.lavenderline.standins.platform;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/**
 * One run of a request at an engine.
 *
 * <p>Thread-safe: the thread of the connection writes, others read.
 */
public final class EngineRun {
    /** What became of a run. */
    public enum End {
        RUNNING,
        COMPLETE,
        /** The engine ended the answer early, and it looks complete. */
        EARLY,
        /** The engine reset the connection or crashed. */
        BROKEN,
        /** The node closed the connection. */
        CANCELLED
    }

    private final String requestId;
    private final String engine;
    private final String version;
    private final String stamp;
    private final String connection;
    private final int firstEvent;
    private final double began;
    private volatile int status;
    private volatile byte[] body = new byte[0];
    private volatile byte[] bodyAsSent = new byte[0];
    private volatile int lastEvent;
    private volatile End end = End.RUNNING;
    private volatile double ended;
    private volatile String disturbance = "";

    EngineRun(
            String requestId,
            String engine,
            String version,
            String stamp,
            String connection,
            int firstEvent,
            double began) {
        this.requestId = requestId;
        this.engine = engine;
        this.version = version;
        this.stamp = stamp;
        this.connection = connection;
        this.firstEvent = firstEvent;
        this.began = began;
    }

    void answering(int newStatus, byte[] wholeBody, int newLastEvent) {
        status = newStatus;
        body = wholeBody.clone();
        bodyAsSent = body;
        lastEvent = newLastEvent;
    }

    /** Records how the bytes of this answer were mixed with those of another one or stop; nothing if it is empty. */
    void disturbed(String description) {
        if (!description.isEmpty()) {
            disturbance = disturbance.isEmpty() ? description : disturbance + "; " + description;
        }
    }

    /** Records that the body was followed by further bytes of this run, within the body's framing. */
    void sentWithin(byte[] further) {
        byte[] all = Arrays.copyOf(body, body.length + further.length);
        System.arraycopy(further, 0, all, body.length, further.length);
        bodyAsSent = all;
    }

    void ended(End newEnd, double time) {
        if (end == End.RUNNING) {
            ended = time;
            end = newEnd;
        }
    }

    public String requestId() {
        return requestId;
    }

    public String engine() {
        return engine;
    }

    /** Returns when the run began, in seconds of the history. */
    public double began() {
        return began;
    }

    public String version() {
        return version;
    }

    /** Returns the stamp of the answer, which no other run has. */
    public String stamp() {
        return stamp;
    }

    public String connection() {
        return connection;
    }

    /** Returns the first event that was asked for; above 1 for a run that continues a stream. */
    public int firstEvent() {
        return firstEvent;
    }

    public int status() {
        return status;
    }

    /** Returns the body that the engine meant to send; for one that ended early, the part that it sent. */
    public byte[] body() {
        return body.clone();
    }

    /**
     * Returns the body with all bytes of this run that the engine sent within its framing. Without heads among them, a
     * receiver can't tell these bytes from the body (RFC 9112, section 6.3).
     */
    public byte[] bodyAsSent() {
        return bodyAsSent.clone();
    }

    /** Returns the number of the last event of the whole stream. */
    public int lastEvent() {
        return lastEvent;
    }

    public End end() {
        return end;
    }

    public String disturbance() {
        return disturbance;
    }

    /** Returns one event of a stream. */
    static byte[] event(String requestId, int number, String stamp) {
        return ("id: " + number + "\ndata: " + requestId + "." + number + "." + stamp + "\n\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "run of %s at %s version %s on connection %s, events %d to %d, %.3f to %.3f: status %d, %s%s",
                requestId,
                engine,
                version,
                connection,
                firstEvent,
                lastEvent,
                began,
                ended,
                status,
                end,
                disturbance.isEmpty() ? "" : ", " + disturbance);
    }
}
