package dev.lavenderline.serving.routes;

/**
 * A service that gets a part of a route's traffic. Immutable.
 *
 * @param service name of the service
 * @param weight share relative to the other services of the route, positive
 */
public record WeightedService(String service, int weight) {
    public WeightedService {
        if (weight < 0) {
            throw new IllegalArgumentException(
                    "weight of service " + service + " is " + weight + ", must not be negative");
        }
    }
}
