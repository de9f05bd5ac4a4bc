package dev.lavenderline.core.config;

import java.util.Comparator;

/**
 * An error in a configuration folder. Ordered by file, line, field and message.
 *
 * @param file name of the file that set the value
 * @param line line number in that file, starting at 1
 * @param field path of the field, such as {@code upstreams.repair-1.address}; empty for the whole file
 * @param message what is wrong, with the offending value and the accepted values
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
        String location = file + ":" + line + ": ";
        return field.isEmpty() ? location + message : location + field + ": " + message;
    }
}
