package dev.lavenderline.serving.upstreams;

/** A software version of the upstreams of a service. Immutable. */
public record ServiceVersion(String service, String version) {
    /** Returns the version that an upstream serves. */
    public static ServiceVersion of(Upstream upstream) {
        return new ServiceVersion(upstream.service(), upstream.version());
    }
}
