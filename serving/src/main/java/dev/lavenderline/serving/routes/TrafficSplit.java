package dev.lavenderline.serving.routes;

import java.util.List;
import java.util.function.IntUnaryOperator;

/** Splits the traffic of a route over its services in proportion to their weights. Stateless and thread-safe. */
public final class TrafficSplit {
    private TrafficSplit() {}

    /**
     * Returns the service for a request.
     *
     * @param random returns a random number from 0 (inclusive) to its argument (exclusive)
     */
    public static String choose(List<WeightedService> services, IntUnaryOperator random) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (services.size() == 1 || total == 0) {
            return services.get(0).service();
        }
        int drawn = random.applyAsInt(total);
        int remainder = drawn;
        for (WeightedService service : services) {
            remainder -= service.weight();
            if (remainder < 0) {
                return service.service();
            }
        }
        throw new IllegalStateException("random number " + drawn + " is not below the total weight " + total);
    }
}
