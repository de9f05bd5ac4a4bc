package dev.lavenderline.core.config;

/**
 * A back end: a model engine or a plain service.
 *
 * @param name unique name
 * @param kind engine or service
 * @param group name of the deployment that an engine serves, or of the service to which routes refer
 * @param address IP address and port, such as {@code 127.0.0.1:9001}
 * @param region region in which it runs
 * @param failureDomain failure domain in which it runs
 * @param maxConcurrent maximum number of concurrent sequences (engine) or calls (service)
 * @param checksFencing whether it rejects requests with an outdated fencing token
 */
public record Upstream(
        String name,
        Kind kind,
        String group,
        String address,
        String region,
        String failureDomain,
        int maxConcurrent,
        boolean checksFencing) {
    /** The type of an upstream. */
    public enum Kind {
        ENGINE,
        SERVICE
    }

    /** Returns the host part of the address. */
    public String host() {
        return address.substring(0, address.lastIndexOf(':'));
    }

    /** Returns the port part of the address. */
    public int port() {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
