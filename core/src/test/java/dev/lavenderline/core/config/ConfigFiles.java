package dev.lavenderline.core.config;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Builds and parses configuration folders in tests. */
final class ConfigFiles {
    /** One model, deployment, engine, service, workspace and route. */
    static final String BASE = """
            models:
              repair-lm: {versions: ["1", "2"], adapters: [gates], weight_bytes: 14GB}
            deployments:
              repair: {model: repair-lm, version: "1", adapters: [gates]}
            upstreams:
              e1: {engine_of: repair, address: "127.0.0.1:9001", region: north, failure_domain: north-a}
              s1: {service: dispatch, address: "127.0.0.1:9002", region: north, failure_domain: north-a}
            workspaces:
              crews: {tokens_sha256: ["0000000000000000000000000000000000000000000000000000000000000000"]}
            routes:
              /dispatch: {service: dispatch}
            """;

    private final SortedMap<String, byte[]> files = new TreeMap<>();

    ConfigFiles with(String name, String content) {
        files.put(name, content.getBytes(StandardCharsets.UTF_8));
        return this;
    }

    ConfigFiles with(String name, byte[] content) {
        files.put(name, content);
        return this;
    }

    FleetConfig config() {
        return ConfigParser.parse(files).getOrElseThrow(faults -> new AssertionError(text(faults)));
    }

    List<ConfigFault> faults() {
        return ConfigParser.parse(files).swap().getOrElseThrow(config -> new AssertionError("no fault: " + config));
    }

    String faultText() {
        return text(faults());
    }

    private static String text(List<ConfigFault> faults) {
        return faults.stream().map(ConfigFault::toString).collect(Collectors.joining("\n"));
    }
}
