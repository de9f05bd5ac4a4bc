package dev.lavenderline.bench.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Collects one value a round for each policy and key. Not thread-safe. */
final class Measurements {
    private final Map<String, Map<String, List<Double>>> values = new TreeMap<>();

    void add(String policy, String key, double value) {
        values.computeIfAbsent(policy, name -> new LinkedHashMap<>())
                .computeIfAbsent(key, name -> new ArrayList<>())
                .add(value);
    }

    /** Returns the median over the rounds. */
    double median(String policy, String key) {
        List<Double> sorted = new ArrayList<>(values.get(policy).get(key));
        Collections.sort(sorted);
        int middle = sorted.size() / 2;
        return sorted.size() % 2 == 1 ? sorted.get(middle) : (sorted.get(middle - 1) + sorted.get(middle)) / 2;
    }

    /** Returns a table with the median and the range of each key. */
    String table() {
        StringBuilder table = new StringBuilder();
        values.forEach((policy, keys) -> {
            table.append(policy).append('\n');
            keys.forEach((key, rounds) -> table.append(String.format(
                    "  %-28s %10.3f   (%.3f to %.3f, %d rounds)%n",
                    key, median(policy, key), Collections.min(rounds), Collections.max(rounds), rounds.size())));
        });
        return table.toString();
    }

    /** Returns the medians by key: those of the main policy at the top level, the others in {@code baselines}. */
    ObjectNode json(String mainPolicy) {
        ObjectNode json = new ObjectMapper().createObjectNode();
        ObjectNode baselines = json.objectNode();
        values.forEach((policy, keys) -> {
            ObjectNode target = policy.equals(mainPolicy) ? json : baselines.putObject(policy);
            keys.keySet().forEach(key -> target.put(key, Math.round(median(policy, key) * 1000) / 1000.0));
        });
        json.set("baselines", baselines);
        return json;
    }

    /** Returns the values of all rounds by policy and key. */
    ObjectNode allRounds() {
        ObjectNode json = new ObjectMapper().createObjectNode();
        values.forEach((policy, keys) -> {
            ObjectNode node = json.putObject(policy);
            keys.forEach((key, rounds) -> rounds.forEach(node.withArray(key)::add));
        });
        return json;
    }
}
