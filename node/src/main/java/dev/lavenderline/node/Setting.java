package dev.lavenderline.node;

import dev.lavenderline.core.config.Quantities;
import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * One row of the settings table.
 *
 * @param flag name of the flag without hyphens in front
 * @param unit what the value is, {@code duration}
 * @param byDefault text of the default; empty if there is none
 * @param required whether a missing value is a fault
 * @param bounds accepted values, for help and faults
 * @param description one sentence
 * @param read returns the value, or empty if the text is out of bounds
 */
record Setting<T>(
        String flag,
        String unit,
        String byDefault,
        boolean required,
        String bounds,
        String description,
        Function<String, Optional<T>> read) {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    /** Returns the environment variable that is used if the flag is missing. */
    String variable() {
        return "LAVENDERLINE_" + flag.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /** Returns the default for display. */
    String shownDefault() {
        if (required) {
            return "required";
        }
        return byDefault.isEmpty() ? "none" : byDefault;
    }

    static Setting<String> name(String flag, String byDefault, String description) {
        return new Setting<>(
                flag,
                "name",
                byDefault,
                byDefault.isEmpty(),
                "1 to 64 letters, digits, dots, underscores or hyphens",
                description,
                text -> Optional.of(text).filter(name -> NAME.matcher(name).matches()));
    }

    static Setting<String> address(String flag, String byDefault, int lowestPort, String description) {
        return new Setting<>(
                flag,
                "IP:PORT",
                byDefault,
                false,
                "IP address and port from " + lowestPort + " to 65535",
                description,
                text -> Optional.of(text).filter(address -> Addresses.isValid(address, lowestPort)));
    }

    static Setting<URI> url(String flag, boolean required, String description) {
        return new Setting<>(flag, "URL", "", required, "http://HOST:PORT", description, Setting::readUrl);
    }

    static Setting<Duration> duration(String flag, String byDefault, String min, String max, String description) {
        Duration least = Quantities.duration(min).orElseThrow();
        Duration most = Quantities.duration(max).orElseThrow();
        return new Setting<>(
                flag,
                "duration",
                byDefault,
                false,
                min + " to " + max,
                description,
                text -> Quantities.duration(text)
                        .filter(value -> value.compareTo(least) >= 0 && value.compareTo(most) <= 0));
    }

    static Setting<Long> bytes(String flag, String byDefault, String min, String max, String description) {
        long least = Quantities.bytes(min).orElseThrow();
        long most = Quantities.bytes(max).orElseThrow();
        return new Setting<>(
                flag,
                "byte size",
                byDefault,
                false,
                min + " to " + max,
                description,
                text -> Quantities.bytes(text).filter(value -> value >= least && value <= most));
    }

    static Setting<Double> number(
            String flag, String unit, String byDefault, double min, double max, String description) {
        return new Setting<>(
                flag,
                unit,
                byDefault,
                false,
                plain(min) + " to " + plain(max),
                description,
                text -> readNumber(text).filter(value -> value >= min && value <= max));
    }

    static Setting<Long> integer(String flag, String unit, String byDefault, String description) {
        return new Setting<>(
                flag,
                unit,
                byDefault,
                false,
                Long.MIN_VALUE + " to " + Long.MAX_VALUE,
                description,
                Setting::readInteger);
    }

    static <E extends Enum<E>> Setting<E> choice(String flag, Class<E> type, E byDefault, String description) {
        List<E> values = Arrays.asList(type.getEnumConstants());
        return new Setting<>(
                flag,
                "word",
                word(byDefault),
                false,
                values.stream().map(Setting::word).collect(Collectors.joining(", ")),
                description,
                text -> values.stream()
                        .filter(value -> word(value).equals(text))
                        .findFirst());
    }

    private static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String plain(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    private static Optional<Double> readNumber(String text) {
        try {
            return Optional.of(Double.valueOf(text)).filter(value -> !value.isNaN());
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Optional<Long> readInteger(String text) {
        try {
            return Optional.of(Long.valueOf(text));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Optional<URI> readUrl(String text) {
        try {
            URI url = new URI(text);
            boolean valid = "http".equals(url.getScheme()) && url.getHost() != null;
            return valid ? Optional.of(url) : Optional.empty();
        } catch (URISyntaxException e) {
            return Optional.empty();
        }
    }
}
