package dev.lavenderline.core.config;

import dev.lavenderline.core.config.YamlNode.Mapping;
import dev.lavenderline.core.config.YamlNode.Member;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * The allowed keys of the configuration. Each file is checked before merging, so that an unknown key is an error even
 * if a later file removes it.
 */
final class Schema {
    /** Names of models, deployments, upstreams, services, workspaces, regions and failure domains. */
    static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    static final String NAME_RULE =
            "must be 1 to 64 letters, digits, dots, underscores or hyphens and start with a letter or a digit";

    private static final Pattern PATH = Pattern.compile("(/[A-Za-z0-9._~-]+)+");

    private static final Shape LEAF = new Leaf();

    private static final Shape ROOT = new Fields(Map.of(
            "models", new EntryMap(fields("versions", "adapters", "weight_bytes"), false),
            "deployments",
                    new EntryMap(
                            fields("model", "version", "adapters")
                                    .with("online", fields("enabled", "first_token", "between_tokens", "timeout"))
                                    .with("batch", fields("enabled", "max_share")),
                            false),
            "upstreams",
                    new EntryMap(
                            fields(
                                    "engine_of",
                                    "service",
                                    "address",
                                    "region",
                                    "failure_domain",
                                    "max_concurrent",
                                    "checks_fencing"),
                            false),
            "workspaces",
                    new EntryMap(
                            fields(
                                    "tokens_sha256",
                                    "weight",
                                    "requests_per_second",
                                    "max_in_flight",
                                    "max_batch_items"),
                            false),
            "routes", new EntryMap(fields("service", "methods", "repeatable", "timeout"), true)));

    private Schema() {}

    /** Adds a fault for each unknown key, invalid name and value that should be a map. */
    static void check(Mapping file, List<ConfigFault> faults) {
        check(ROOT, "", new Member(file.position(), file), faults);
    }

    private static void check(Shape shape, String path, Member member, List<ConfigFault> faults) {
        if (shape instanceof Leaf || member.value() instanceof YamlNode.Null) {
            return;
        }
        if (!(member.value() instanceof Mapping mapping)) {
            faults.add(
                    fault(member, path, "must be a map, found " + member.value().describe()));
            return;
        }
        mapping.members().forEach((key, child) -> {
            String childPath = path.isEmpty() ? key : path + "." + key;
            if (shape instanceof EntryMap entryMap) {
                checkName(entryMap, key, childPath, child, faults);
                check(entryMap.entry, childPath, child, faults);
                return;
            }
            Map<String, Shape> shapes = ((Fields) shape).shapes;
            if (!shapes.containsKey(key)) {
                String keys = String.join(", ", new TreeSet<>(shapes.keySet()));
                faults.add(fault(child, childPath, "unknown key, expected one of: " + keys));
                return;
            }
            check(shapes.get(key), childPath, child, faults);
        });
    }

    private static void checkName(
            EntryMap entryMap, String name, String path, Member member, List<ConfigFault> faults) {
        if (!entryMap.keysArePaths) {
            if (!NAME.matcher(name).matches()) {
                faults.add(fault(member, path, "the name " + NAME_RULE));
            }
            return;
        }
        if (!PATH.matcher(name).matches()) {
            faults.add(fault(member, path, "must be a path such as /dispatch/parts, without a trailing slash"));
        } else if (name.equals("/v1") || name.startsWith("/v1/")) {
            faults.add(fault(member, path, "paths below /v1 are reserved for the model API"));
        }
    }

    private static ConfigFault fault(Member member, String path, String message) {
        return new ConfigFault(member.keyPosition().file(), member.keyPosition().line(), path, message);
    }

    private static Fields fields(String... names) {
        Map<String, Shape> shapes = new TreeMap<>();
        for (String name : names) {
            shapes.put(name, LEAF);
        }
        return new Fields(shapes);
    }

    private sealed interface Shape {}

    /** A scalar or a list, validated after merging. */
    private record Leaf() implements Shape {}

    /** A map with a fixed set of keys. */
    private record Fields(Map<String, Shape> shapes) implements Shape {
        Fields with(String name, Shape shape) {
            Map<String, Shape> extended = new TreeMap<>(shapes);
            extended.put(name, shape);
            return new Fields(extended);
        }
    }

    /** A map from names or paths to entries of the same shape. */
    private record EntryMap(Shape entry, boolean keysArePaths) implements Shape {}
}
