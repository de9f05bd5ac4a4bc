package dev.lavenderline.core.config;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A YAML value with its position in the source file. Immutable. */
sealed interface YamlNode {
    Position position();

    /** Returns a description of the value for error messages. */
    String describe();

    /** Position of a value; for maps and lists the position of their key. */
    record Position(String file, int line) {}

    /** A member of a map: the position of its key, and its value. */
    record Member(Position keyPosition, YamlNode value) {}

    /**
     * A map.
     *
     * @param removed keys that a later file removed, with the position of the removal
     */
    record Mapping(Position position, Map<String, Member> members, Map<String, Position> removed) implements YamlNode {
        static Mapping empty(Position position) {
            return new Mapping(position, Map.of(), Map.of());
        }

        @Override
        public String describe() {
            return "a map";
        }

        /** Returns this map merged with a later file's: maps merge, other values replace, null removes. */
        Mapping merge(Mapping later) {
            Map<String, Member> merged = new LinkedHashMap<>(members);
            Map<String, Position> mergedRemoved = new LinkedHashMap<>(removed);
            later.members.forEach((key, member) -> {
                if (member.value() instanceof Null) {
                    merged.remove(key);
                    mergedRemoved.put(key, member.keyPosition());
                    return;
                }
                mergedRemoved.remove(key);
                if (!(member.value() instanceof Mapping laterMap)) {
                    merged.put(key, member);
                    return;
                }
                Member earlier = merged.get(key);
                if (earlier != null && earlier.value() instanceof Mapping earlierMap) {
                    merged.put(key, new Member(earlier.keyPosition(), earlierMap.merge(laterMap)));
                } else {
                    merged.put(
                            key,
                            new Member(
                                    member.keyPosition(),
                                    empty(member.keyPosition()).merge(laterMap)));
                }
            });
            return new Mapping(position, merged, mergedRemoved);
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

    /** A boolean. */
    record Bool(Position position, boolean value) implements YamlNode {
        @Override
        public String describe() {
            return "the boolean " + value;
        }
    }

    /** An explicit null or an empty value. */
    record Null(Position position) implements YamlNode {
        @Override
        public String describe() {
            return "null";
        }
    }
}
