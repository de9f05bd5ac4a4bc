package dev.lavenderline.serving.upstreams;

/**
 * An upstream as its entry in the store describes it. Immutable.
 *
 * @param id instance id, new with most starts of the upstream
 * @param service name of the service
 * @param host address
 * @param port port
 * @param failureDomain where it runs
 * @param slots requests that it processes concurrently
 * @param draining whether it leaves and gets no new requests
 */
public record Upstream(
        String id, String service, String host, int port, String failureDomain, int slots, boolean draining) {}
