package dev.lavenderline.core.config;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A YAML value that knows where it was written. Immutable. */
sealed interface YamlNode {
    Position position();

    /** Returns what the value is, for messages about wrong types. */
    String describe();

    /** Place of a value; for maps and lists the place of their key. */
    record Position(String file, int line) {}

    /** A key of a map with its value. */
    record Member(Position key, YamlNode value) {}

    /**
     * A map.
     *
     * @param removed keys that a later file removed, with the place of the removal
     */
    record Mapping(Position position, Map<String, Member> members, Map<String, Position> removed) implements YamlNode {
        static Mapping empty(Position position) {
            return new Mapping(position, Map.of(), Map.of());
        }

        @Override
        public String describe() {
            return "a map";
        }

        /** Returns this map with the members of a later file: maps are merged, other values replaced, null removes. */
        Mapping merge(Mapping later) {
            Map<String, Member> merged = new LinkedHashMap<>(members);
            Map<String, Position> gone = new LinkedHashMap<>(removed);
            later.members.forEach((key, member) -> {
                if (member.value() instanceof Null) {
                    merged.remove(key);
                    gone.put(key, member.key());
                    return;
                }
                gone.remove(key);
                if (!(member.value() instanceof Mapping laterMap)) {
                    merged.put(key, member);
                    return;
                }
                Member earlier = merged.get(key);
                if (earlier != null && earlier.value() instanceof Mapping earlierMap) {
                    merged.put(key, new Member(earlier.key(), earlierMap.merge(laterMap)));
                } else {
                    merged.put(key, new Member(member.key(), empty(member.key()).merge(laterMap)));
                }
            });
            return new Mapping(position, merged, gone);
        }

        Optional<YamlNode> value(String key) {
            return Optional.ofNullable(members.get(key)).map(Member::value);
        }
    }

    /** A list. */
    record Sequence(Position position, List<YamlNode> items) implements YamlNode {
        public Sequence {
            items = List.copyOf(items);
        }

        @Override
        public String describe() {
            List<String> parts = new ArrayList<>();
            items.forEach(item -> parts.add(item.describe()));
            return "the list [" + String.join(", ", parts) + "]";
        }
    }

    /** A string. */
    record Text(Position position, String text) implements YamlNode {
        @Override
        public String describe() {
            return "'" + text + "'";
        }
    }

    /**
     * A whole or decimal number.
     *
     * @param text the number as written
     */
    record Number(Position position, BigDecimal value, String text) implements YamlNode {
        @Override
        public String describe() {
            return "the number " + text;
        }
    }

    /** True or false. */
    record Flag(Position position, boolean value) implements YamlNode {
        @Override
        public String describe() {
            return "the boolean " + value;
        }
    }

    /** Null or nothing. */
    record Null(Position position) implements YamlNode {
        @Override
        public String describe() {
            return "null";
        }
    }
}
