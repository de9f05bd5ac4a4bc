package dev.lavenderline.serving.slots;

import java.util.Map;

/**
 * Distances between failure domains, and the price of traffic between them. Immutable and thread-safe.
 *
 * @param regions regions of the failure domains, by name of the failure domain
 * @param crossDomainMillisPerMegabyte milliseconds of a caller's wait that one megabyte between failure domains of a
 *     region may save, at least 0
 * @param crossRegionMillisPerMegabyte the same for a megabyte between regions
 */
public record Topology(
        Map<String, String> regions, double crossDomainMillisPerMegabyte, double crossRegionMillisPerMegabyte) {
    private static final double DEFAULT_CROSS_DOMAIN_MILLIS = 20;
    private static final double DEFAULT_CROSS_REGION_MILLIS = 80;

    /** How far an upstream is from a node. */
    public enum Distance {
        SAME_DOMAIN(0.4),
        SAME_REGION(3),
        OTHER_REGION(17);

        private final double roundTripMillis;

        Distance(double roundTripMillis) {
            this.roundTripMillis = roundTripMillis;
        }

        /** Returns the usual time of a round trip, in milliseconds. */
        double roundTripMillis() {
            return roundTripMillis;
        }
    }

    public Topology {
        regions = Map.copyOf(regions);
        checkPrice(crossDomainMillisPerMegabyte);
        checkPrice(crossRegionMillisPerMegabyte);
    }

    private static void checkPrice(double price) {
        if (!(price >= 0) || Double.isInfinite(price)) {
            throw new IllegalArgumentException("price of a megabyte is " + price + " ms, must be at least 0");
        }
    }

    /** Returns a topology with the default prices. */
    public static Topology ofRegions(Map<String, String> regions) {
        return new Topology(regions, DEFAULT_CROSS_DOMAIN_MILLIS, DEFAULT_CROSS_REGION_MILLIS);
    }

    /** Returns the distance of two failure domains; those of unknown regions count as far apart. */
    Distance distance(String from, String to) {
        if (from.equals(to)) {
            return Distance.SAME_DOMAIN;
        }
        String region = regions.get(from);
        return region != null && region.equals(regions.get(to)) ? Distance.SAME_REGION : Distance.OTHER_REGION;
    }

    /** Returns the price of a megabyte, in milliseconds of a caller's wait. */
    double millisPerMegabyte(Distance distance) {
        return switch (distance) {
            case SAME_DOMAIN -> 0;
            case SAME_REGION -> crossDomainMillisPerMegabyte;
            case OTHER_REGION -> crossRegionMillisPerMegabyte;
        };
    }
}
