package dev.lavenderline.http;

/** Traffic class of a request; each has its own upstream connections, so that neither waits for the other's. */
public enum TrafficClass {
    ONLINE,
    BATCH;

    /** Returns the value of the header {@code X-Request-Class}. */
    String headerValue() {
        return this == ONLINE ? "online" : "batch";
    }
}
