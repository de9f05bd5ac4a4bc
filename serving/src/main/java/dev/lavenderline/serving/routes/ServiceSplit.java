package dev.lavenderline.serving.routes;

import java.util.List;
import java.util.function.IntUnaryOperator;

/** Chooses a service of a route in proportion to the weights. Stateless and thread-safe. */
public final class ServiceSplit {
    private ServiceSplit() {}

    /**
     * Returns the chosen service.
     *
     * @param random returns a number from 0 to its argument, exclusive
     */
    public static String choose(List<WeightedService> services, IntUnaryOperator random) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (services.size() == 1 || total == 0) {
            return services.get(0).service();
        }
        int point = random.applyAsInt(total);
        for (WeightedService service : services) {
            point -= service.weight();
            if (point < 0) {
                return service.service();
            }
        }
        throw new IllegalStateException("random number " + point + " is not below the total weight " + total);
    }
}
