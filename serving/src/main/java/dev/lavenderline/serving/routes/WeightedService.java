package dev.lavenderline.serving.routes;

/**
 * A service that receives a share of a route's traffic. Immutable.
 *
 * @param service name of the service
 * @param weight share relative to the other services of the route, not negative
 */
public record WeightedService(String service, int weight) {
    public WeightedService {
        if (weight < 0) {
            throw new IllegalArgumentException("weight of service " + service + " is negative: " + weight);
        }
    }
}
