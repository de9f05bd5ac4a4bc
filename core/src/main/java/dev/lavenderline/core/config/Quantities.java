package dev.lavenderline.core.config;

import java.math.BigInteger;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats durations ({@code 520ms}, {@code 5s}, {@code 2m}, {@code 24h}) and byte sizes ({@code 512B},
 * {@code 14GB}, {@code 8MiB}). Both are a whole number directly followed by its unit.
 *
 * <pre>{@code
 * Quantities.parseDuration("520ms"); // Optional[PT0.52S]
 * Quantities.parseBytes("14GB");     // Optional[14000000000]
 * Quantities.parseBytes("14");       // Optional.empty: the unit is missing
 * }</pre>
 */
public final class Quantities {
    private static final Pattern NUMBER_AND_UNIT = Pattern.compile("([0-9]{1,18})([A-Za-z]+)");

    private static final Map<String, Long> MILLIS_PER_UNIT =
            Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L);

    private static final Map<String, Long> BYTES_PER_UNIT = Map.of(
            "B", 1L,
            "KB", 1_000L,
            "MB", 1_000_000L,
            "GB", 1_000_000_000L,
            "TB", 1_000_000_000_000L,
            "KiB", 1L << 10,
            "MiB", 1L << 20,
            "GiB", 1L << 30,
            "TiB", 1L << 40);

    private Quantities() {}

    /** Parses a duration; empty if the text is invalid or exceeds the range of {@code long} milliseconds. */
    public static Optional<Duration> parseDuration(String text) {
        return parse(text, MILLIS_PER_UNIT).map(Duration::ofMillis);
    }

    /** Parses a byte size; empty if the text is invalid or exceeds the range of {@code long}. */
    public static Optional<Long> parseBytes(String text) {
        return parse(text, BYTES_PER_UNIT);
    }

    /** Formats a duration in the largest unit that divides it; fractions of a millisecond are truncated. */
    public static String formatDuration(Duration duration) {
        long millis = duration.toMillis();
        if (millis == 0) {
            return "0s";
        }
        if (millis % 3_600_000 == 0) {
            return millis / 3_600_000 + "h";
        }
        if (millis % 60_000 == 0) {
            return millis / 60_000 + "m";
        }
        return millis % 1_000 == 0 ? millis / 1_000 + "s" : millis + "ms";
    }

    /** Returns the shortest text that {@link #parseBytes} parses as the same value. */
    public static String formatBytes(long bytes) {
        String shortest = bytes + "B";
        for (Map.Entry<String, Long> unit : BYTES_PER_UNIT.entrySet()) {
            if (bytes == 0 || bytes % unit.getValue() != 0) {
                continue;
            }
            String text = bytes / unit.getValue() + unit.getKey();
            if (text.length() < shortest.length()
                    || (text.length() == shortest.length() && text.compareTo(shortest) < 0)) {
                shortest = text;
            }
        }
        return shortest;
    }

    private static Optional<Long> parse(String text, Map<String, Long> units) {
        Matcher matcher = NUMBER_AND_UNIT.matcher(text);
        if (!matcher.matches() || !units.containsKey(matcher.group(2))) {
            return Optional.empty();
        }
        BigInteger value = new BigInteger(matcher.group(1)).multiply(BigInteger.valueOf(units.get(matcher.group(2))));
        return value.bitLength() < Long.SIZE ? Optional.of(value.longValue()) : Optional.empty();
    }
}
