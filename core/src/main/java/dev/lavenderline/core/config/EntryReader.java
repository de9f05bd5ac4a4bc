package dev.lavenderline.core.config;

import dev.lavenderline.core.config.YamlNode.Mapping;
import dev.lavenderline.core.config.YamlNode.Position;
import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Reads the fields of one merged map. An invalid field yields its default, so that one pass finds all faults. Not
 * thread-safe.
 */
final class EntryReader {
    // At most 18 digits, so that the value fits in a long.
    private static final Pattern LONG_DIGITS = Pattern.compile("-?[0-9]{1,18}");

    private final String path;
    private final Mapping mapping;
    private final List<ConfigFault> faults;

    EntryReader(String path, Mapping mapping, List<ConfigFault> faults) {
        this.path = path;
        this.mapping = mapping;
        this.faults = faults;
    }

    /** Returns the entries of a map that are maps, by name; empty if the field is missing or not a map. */
    Map<String, EntryReader> entries(String key) {
        Map<String, EntryReader> entries = new LinkedHashMap<>();
        if (mapping.value(key).orElse(null) instanceof Mapping named) {
            named.members().forEach((name, member) -> {
                if (member.value() instanceof Mapping entry) {
                    entries.put(name, new EntryReader(path(key) + "." + name, entry, faults));
                }
            });
        }
        return entries;
    }

    /** Returns a reader of a nested map, or of an empty map if the field is missing or not a map. */
    EntryReader child(String key) {
        Mapping child = mapping.value(key).orElse(null) instanceof Mapping map ? map : Mapping.empty(position(key));
        return new EntryReader(path(key), child, faults);
    }

    boolean has(String key) {
        return mapping.members().containsKey(key);
    }

    /** Returns a required string; adds a fault and returns empty if it is missing, not a string or not valid. */
    Optional<String> text(String key, Predicate<String> isValid, String rule) {
        Optional<YamlNode> node = mapping.value(key);
        if (node.isEmpty()) {
            fault(key, "is required");
            return Optional.empty();
        }
        return text(path(key), node.get(), isValid, rule);
    }

    /** Returns a required string that is a valid name. */
    Optional<String> name(String key) {
        return text(key, text -> Schema.NAME.matcher(text).matches(), Schema.NAME_RULE);
    }

    /** Returns an optional list of distinct strings; empty if the field is missing. */
    List<String> texts(String key, Predicate<String> isValid, String rule) {
        Optional<YamlNode> node = mapping.value(key);
        if (node.isEmpty()) {
            return List.of();
        }
        if (!(node.get() instanceof YamlNode.Sequence sequence)) {
            fault(key, "must be a list, found " + describe(path(key), node.get()));
            return List.of();
        }
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < sequence.items().size(); i++) {
            YamlNode item = sequence.items().get(i);
            String itemPath = path(key) + "[" + i + "]";
            text(itemPath, item, isValid, rule).ifPresent(text -> {
                if (texts.contains(text)) {
                    fault(itemPath, item.position(), "'" + text + "' is in the list twice");
                } else {
                    texts.add(text);
                }
            });
        }
        return texts;
    }

    /** Returns a required list of distinct strings with at least one element. */
    List<String> nonEmptyTexts(String key, Predicate<String> isValid, String rule) {
        int faultsBefore = faults.size();
        List<String> texts = texts(key, isValid, rule);
        if (texts.isEmpty() && faults.size() == faultsBefore) {
            fault(key, has(key) ? "must have at least one element" : "is required");
        }
        return texts;
    }

    boolean bool(String key, boolean defaultValue) {
        Optional<YamlNode> node = mapping.value(key);
        if (node.isEmpty()) {
            return defaultValue;
        }
        if (node.get() instanceof YamlNode.Bool bool) {
            return bool.value();
        }
        fault(key, "must be true or false, found " + node.get().describe());
        return defaultValue;
    }

    long integer(String key, long defaultValue, long min, long max) {
        Optional<YamlNode> node = mapping.value(key);
        if (node.isEmpty()) {
            return defaultValue;
        }
        if (node.get() instanceof YamlNode.Number number
                && LONG_DIGITS.matcher(number.value().toPlainString()).matches()) {
            long value = number.value().longValueExact();
            if (value >= min && value <= max) {
                return value;
            }
        }
        fault(
                key,
                "must be a whole number from " + min + " to " + max + ", found "
                        + node.get().describe());
        return defaultValue;
    }

    double number(String key, double defaultValue, String min, String max) {
        Optional<YamlNode> node = mapping.value(key);
        if (node.isEmpty()) {
            return defaultValue;
        }
        if (node.get() instanceof YamlNode.Number number
                && number.value().compareTo(new BigDecimal(min)) >= 0
                && number.value().compareTo(new BigDecimal(max)) <= 0) {
            return number.value().doubleValue();
        }
        fault(
                key,
                "must be a number from " + min + " to " + max + ", found "
                        + node.get().describe());
        return defaultValue;
    }

    Duration duration(String key, String defaultText, String min, String max) {
        Duration defaultValue = Quantities.parseDuration(defaultText).orElseThrow();
        Optional<YamlNode> node = mapping.value(key);
        if (node.isEmpty()) {
            return defaultValue;
        }
        Optional<Duration> value =
                node.get() instanceof YamlNode.Text text ? Quantities.parseDuration(text.text()) : Optional.empty();
        if (value.isPresent()
                && value.get().compareTo(Quantities.parseDuration(min).orElseThrow()) >= 0
                && value.get().compareTo(Quantities.parseDuration(max).orElseThrow()) <= 0) {
            return value.get();
        }
        fault(
                key,
                "must be a duration from " + min + " to " + max + " such as 520ms, 5s or 2m, found "
                        + node.get().describe());
        return defaultValue;
    }

    /** Returns a required byte size; adds a fault and returns {@code min} if it is missing or invalid. */
    long bytes(String key, String min, String max) {
        long minBytes = Quantities.parseBytes(min).orElseThrow();
        Optional<YamlNode> node = mapping.value(key);
        if (node.isEmpty()) {
            fault(key, "is required");
            return minBytes;
        }
        Optional<Long> value =
                node.get() instanceof YamlNode.Text text ? Quantities.parseBytes(text.text()) : Optional.empty();
        if (value.isPresent()
                && value.get() >= minBytes
                && value.get() <= Quantities.parseBytes(max).orElseThrow()) {
            return value.get();
        }
        fault(
                key,
                "must be a byte size from " + min + " to " + max + " such as 14GB, found "
                        + node.get().describe());
        return minBytes;
    }

    /** Adds a fault at the position that set or removed the field, otherwise at the position of the entry. */
    void fault(String key, String message) {
        fault(path(key), position(key), message);
    }

    /** Adds a fault at the position of a list element. */
    void itemFault(String key, String item, String message) {
        if (mapping.value(key).orElse(null) instanceof YamlNode.Sequence sequence) {
            for (int i = 0; i < sequence.items().size(); i++) {
                if (sequence.items().get(i) instanceof YamlNode.Text text
                        && text.text().equals(item)) {
                    fault(path(key) + "[" + i + "]", text.position(), message);
                    return;
                }
            }
        }
        fault(key, message);
    }

    /** Adds a fault that concerns the whole entry. */
    void entryFault(String message) {
        fault(path, mapping.position(), message);
    }

    private Optional<String> text(String itemPath, YamlNode node, Predicate<String> isValid, String rule) {
        if (!(node instanceof YamlNode.Text text)) {
            String hint = node instanceof YamlNode.Number || node instanceof YamlNode.Bool ? ", put it in quotes" : "";
            fault(itemPath, node.position(), "must be a string, found " + describe(itemPath, node) + hint);
            return Optional.empty();
        }
        if (!isValid.test(text.text())) {
            fault(itemPath, node.position(), rule + ", found " + describe(itemPath, node));
            return Optional.empty();
        }
        return Optional.of(text.text());
    }

    /** Describes a value for a message, but hides it where it may be a plain-text token. */
    private static String describe(String field, YamlNode node) {
        return field.contains(".tokens_sha256")
                ? "a value that is not shown because it may be a token"
                : node.describe();
    }

    private void fault(String field, Position position, String message) {
        faults.add(new ConfigFault(position.file(), position.line(), field, message));
    }

    private Position position(String key) {
        Optional<YamlNode> node = mapping.value(key);
        if (node.isPresent()) {
            return node.get().position();
        }
        return mapping.removed().getOrDefault(key, mapping.position());
    }

    private String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
