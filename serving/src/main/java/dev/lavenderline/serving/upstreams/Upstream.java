package dev.lavenderline.serving.upstreams;

/**
 * An upstream as described by its entry in the metadata store. Immutable.
 *
 * @param id instance id; most restarts of the upstream change it
 * @param service name of the service
 * @param host host address
 * @param port TCP port
 * @param failureDomain failure domain in which it runs
 * @param slots number of requests that it processes concurrently
 * @param draining whether it is shutting down and gets no new requests
 * @param version version of its software; a stream can't continue on another one
 * @param startedMillis when it started, in milliseconds since the epoch, 0 if it does not say so
 */
public record Upstream(
        String id,
        String service,
        String host,
        int port,
        String failureDomain,
        int slots,
        boolean draining,
        String version,
        long startedMillis) {
    /** Creates an upstream that does not say when it started. */
    public Upstream(
            String id,
            String service,
            String host,
            int port,
            String failureDomain,
            int slots,
            boolean draining,
            String version) {
        this(id, service, host, port, failureDomain, slots, draining, version, 0);
    }
}
