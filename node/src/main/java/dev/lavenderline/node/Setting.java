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
 * @param flag name of the flag without leading hyphens
 * @param unit unit or type of the value, such as {@code duration}
 * @param defaultText text of the default; empty if there is none
 * @param required whether a missing value is an error
 * @param bounds accepted values, for help and error messages
 * @param description one sentence for help
 * @param parser returns the value, or empty if the text is out of bounds
 */
record Setting<T>(
        String flag,
        String unit,
        String defaultText,
        boolean required,
        String bounds,
        String description,
        Function<String, Optional<T>> parser) {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    /** Returns the environment variable that is read if the flag is missing. */
    String variable() {
        return "LAVENDERLINE_" + flag.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /** Returns the default as shown in help. */
    String displayedDefault() {
        if (required) {
            return "required";
        }
        return defaultText.isEmpty() ? "none" : defaultText;
    }

    static Setting<String> name(String flag, String defaultText, String description) {
        return new Setting<>(
                flag,
                "name",
                defaultText,
                defaultText.isEmpty(),
                "1 to 64 letters, digits, dots, underscores or hyphens",
                description,
                text -> Optional.of(text).filter(name -> NAME.matcher(name).matches()));
    }

    static Setting<String> address(String flag, String defaultText, int lowestPort, String description) {
        return new Setting<>(
                flag,
                "IP:PORT",
                defaultText,
                false,
                "IP address and port from " + lowestPort + " to 65535",
                description,
                text -> Optional.of(text).filter(address -> Addresses.isValid(address, lowestPort)));
    }

    static Setting<URI> url(String flag, boolean required, String description) {
        return new Setting<>(flag, "URL", "", required, "http://HOST:PORT", description, Setting::parseUrl);
    }

    static Setting<Duration> duration(String flag, String defaultText, String min, String max, String description) {
        Duration minValue = Quantities.parseDuration(min).orElseThrow();
        Duration maxValue = Quantities.parseDuration(max).orElseThrow();
        return new Setting<>(
                flag,
                "duration",
                defaultText,
                false,
                min + " to " + max,
                description,
                text -> Quantities.parseDuration(text)
                        .filter(value -> value.compareTo(minValue) >= 0 && value.compareTo(maxValue) <= 0));
    }

    static Setting<Long> bytes(String flag, String defaultText, String min, String max, String description) {
        long minValue = Quantities.parseBytes(min).orElseThrow();
        long maxValue = Quantities.parseBytes(max).orElseThrow();
        return new Setting<>(
                flag,
                "byte size",
                defaultText,
                false,
                min + " to " + max,
                description,
                text -> Quantities.parseBytes(text).filter(value -> value >= minValue && value <= maxValue));
    }

    static Setting<Double> number(
            String flag, String unit, String defaultText, double min, double max, String description) {
        return new Setting<>(
                flag,
                unit,
                defaultText,
                false,
                formatNumber(min) + " to " + formatNumber(max),
                description,
                text -> parseNumber(text).filter(value -> value >= min && value <= max));
    }

    static Setting<Long> integer(String flag, String unit, String defaultText, String description) {
        return new Setting<>(
                flag,
                unit,
                defaultText,
                false,
                Long.MIN_VALUE + " to " + Long.MAX_VALUE,
                description,
                Setting::parseInteger);
    }

    static <E extends Enum<E>> Setting<E> choice(String flag, Class<E> type, E defaultValue, String description) {
        List<E> values = Arrays.asList(type.getEnumConstants());
        return new Setting<>(
                flag,
                "word",
                choiceText(defaultValue),
                false,
                values.stream().map(Setting::choiceText).collect(Collectors.joining(", ")),
                description,
                text -> values.stream()
                        .filter(value -> choiceText(value).equals(text))
                        .findFirst());
    }

    private static String choiceText(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    private static Optional<Double> parseNumber(String text) {
        try {
            return Optional.of(Double.valueOf(text)).filter(value -> !value.isNaN());
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Optional<Long> parseInteger(String text) {
        try {
            return Optional.of(Long.valueOf(text));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Optional<URI> parseUrl(String text) {
        try {
            URI url = new URI(text);
            boolean valid = "http".equals(url.getScheme()) && url.getHost() != null;
            return valid ? Optional.of(url) : Optional.empty();
        } catch (URISyntaxException e) {
            return Optional.empty();
        }
    }
}
