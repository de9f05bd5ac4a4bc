package dev.lavenderline.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * The difference between two configurations, by entry and field.
 *
 * <pre>{@code
 * ConfigDiff.between(current, proposed).changes().forEach(System.out::println);
 * }</pre>
 *
 * @param changes in the order models, deployments, upstreams, workspaces, routes; sorted by name within each section
 */
public record ConfigDiff(List<Change> changes) {
    public ConfigDiff {
        changes = List.copyOf(changes);
    }

    /** How an entry differs. */
    public enum Kind {
        ADDED,
        CHANGED,
        REMOVED
    }

    /**
     * A field whose value changed.
     *
     * @param field key in the configuration files, such as {@code online.first_token}
     */
    public record FieldChange(String field, String from, String to) {}

    /**
     * An entry that was added, changed or removed.
     *
     * @param fields the changed fields, in schema order; empty unless the kind is {@code CHANGED}
     */
    public record Change(Kind kind, String section, String name, List<FieldChange> fields) {
        public Change {
            fields = List.copyOf(fields);
        }
    }

    /** Returns the differences between two configurations, ignoring their revisions. */
    public static ConfigDiff between(FleetConfig from, FleetConfig to) {
        List<Change> changes = new ArrayList<>();
        compare("models", from.models(), to.models(), ConfigDiff::fields, changes);
        compare("deployments", from.deployments(), to.deployments(), ConfigDiff::fields, changes);
        compare("upstreams", from.upstreams(), to.upstreams(), ConfigDiff::fields, changes);
        compare("workspaces", from.workspaces(), to.workspaces(), ConfigDiff::fields, changes);
        compare("routes", from.routes(), to.routes(), ConfigDiff::fields, changes);
        return new ConfigDiff(changes);
    }

    /** Returns whether there are no changes. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    private static <T> void compare(
            String section,
            Map<String, T> from,
            Map<String, T> to,
            Function<T, Map<String, String>> fields,
            List<Change> changes) {
        TreeSet<String> names = new TreeSet<>(from.keySet());
        names.addAll(to.keySet());
        for (String name : names) {
            T before = from.get(name);
            T after = to.get(name);
            if (before == null) {
                changes.add(new Change(Kind.ADDED, section, name, List.of()));
            } else if (after == null) {
                changes.add(new Change(Kind.REMOVED, section, name, List.of()));
            } else if (!before.equals(after)) {
                changes.add(new Change(
                        Kind.CHANGED, section, name, changedFields(fields.apply(before), fields.apply(after))));
            }
        }
    }

    private static List<FieldChange> changedFields(Map<String, String> before, Map<String, String> after) {
        List<FieldChange> changes = new ArrayList<>();
        before.forEach((field, value) -> {
            if (!value.equals(after.get(field))) {
                changes.add(new FieldChange(field, value, after.get(field)));
            }
        });
        return changes;
    }

    private static Map<String, String> fields(Model model) {
        return orderedMap(
                "versions", model.versions(),
                "adapters", model.adapters(),
                "weight_bytes", Quantities.formatBytes(model.weightBytes()));
    }

    private static Map<String, String> fields(Deployment deployment) {
        return orderedMap(
                "model", deployment.model(),
                "version", deployment.version(),
                "adapters", deployment.adapters(),
                "online.enabled", deployment.onlineEnabled(),
                "online.first_token", Quantities.formatDuration(deployment.firstToken()),
                "online.between_tokens", Quantities.formatDuration(deployment.betweenTokens()),
                "online.timeout", Quantities.formatDuration(deployment.timeout()),
                "batch.enabled", deployment.batchEnabled(),
                "batch.max_share", deployment.batchMaxShare());
    }

    private static Map<String, String> fields(Upstream upstream) {
        return orderedMap(
                "kind",
                upstream.kind() == Upstream.Kind.ENGINE ? "engine" : "service",
                upstream.kind() == Upstream.Kind.ENGINE ? "engine_of" : "service",
                upstream.group(),
                "address",
                upstream.address(),
                "region",
                upstream.region(),
                "failure_domain",
                upstream.failureDomain(),
                "max_concurrent",
                upstream.maxConcurrent(),
                "checks_fencing",
                upstream.checksFencing());
    }

    private static Map<String, String> fields(Workspace workspace) {
        return orderedMap(
                "tokens_sha256", workspace.tokenSha256(),
                "weight", workspace.weight(),
                "requests_per_second", workspace.requestsPerSecond(),
                "max_in_flight", workspace.maxInFlight(),
                "max_batch_items", workspace.maxBatchItems());
    }

    private static Map<String, String> fields(Route route) {
        return orderedMap(
                "service", route.service(),
                "methods", route.methods(),
                "repeatable", route.repeatable(),
                "timeout", Quantities.formatDuration(route.timeout()));
    }

    private static Map<String, String> orderedMap(Object... namesAndValues) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            fields.put((String) namesAndValues[i], String.valueOf(namesAndValues[i + 1]));
        }
        return fields;
    }
}
