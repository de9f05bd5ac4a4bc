package dev.lavenderline.core.config;

import java.util.Comparator;

/**
 * One error in a configuration folder. Sorted by file, line, field and message.
 *
 * @param file name of the file that set the value
 * @param line line in that file, starting at 1
 * @param field path of the field, {@code upstreams.repair-1.address}; empty if the whole file is concerned
 * @param message what is wrong, with the offending value and the accepted ones
 */
public record ConfigFault(String file, int line, String field, String message) implements Comparable<ConfigFault> {
    private static final Comparator<ConfigFault> ORDER = Comparator.comparing(ConfigFault::file)
            .thenComparingInt(ConfigFault::line)
            .thenComparing(ConfigFault::field)
            .thenComparing(ConfigFault::message);

    @Override
    public int compareTo(ConfigFault other) {
        return ORDER.compare(this, other);
    }

    /** Returns {@code FILE:LINE: FIELD: MESSAGE}. */
    @Override
    public String toString() {
        String place = file + ":" + line + ": ";
        return field.isEmpty() ? place + message : place + field + ": " + message;
    }
}
