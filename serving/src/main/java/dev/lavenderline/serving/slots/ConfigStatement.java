package dev.lavenderline.serving.slots;

import java.time.Duration;

/**
 * What a node says of its configuration in a ping or pong. Immutable.
 *
 * @param version version of the configuration, 0 if there is none
 * @param age time since the question whose answer confirmed this version as the newest one
 */
record ConfigStatement(long version, Duration age) {
    /** Statement of a node without a configuration; other nodes ignore it. */
    static final ConfigStatement NONE = new ConfigStatement(0, Duration.ZERO);

    /** Returns the age in milliseconds, rounded up so that the configuration does not appear younger than it is. */
    int ageMillis() {
        return (int) Math.min(Integer.MAX_VALUE, age.plusNanos(999_999).toMillis());
    }
}
