package dev.lavenderline.core.routing;

import static java.util.Objects.requireNonNull;

/**
 * Location of a node.
 *
 * @param region region of the node
 * @param failureDomain failure domain of the node
 */
public record Locality(String region, String failureDomain) {
    public Locality {
        requireNonNull(region, "region");
        requireNonNull(failureDomain, "failureDomain");
    }
}
