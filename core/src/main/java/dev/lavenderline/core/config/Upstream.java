package dev.lavenderline.core.config;

/**
 * A back end: a model engine or a plain service.
 *
 * @param name unique name
 * @param kind engine or service
 * @param group name of the deployment (engine) or of the service that routes refer to
 * @param address IP address and port, {@code 127.0.0.1:9001}
 * @param region region in which it runs
 * @param failureDomain failure domain in which it runs
 * @param maxConcurrent sequences (engine) or calls (service) that it works on at once
 * @param checksFencing whether it refuses orders with an old fencing number
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
    /** What an upstream is. */
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
