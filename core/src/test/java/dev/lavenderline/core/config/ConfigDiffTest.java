package dev.lavenderline.core.config;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Guards against a diff that omits a changed entry or field. */
class ConfigDiffTest {
    @Test
    void namesAddedChangedAndRemovedEntries() {
        FleetConfig before = new ConfigFiles().with("10.yaml", ConfigFiles.BASE).config();
        FleetConfig after = new ConfigFiles()
                .with("10.yaml", ConfigFiles.BASE)
                .with("20.yaml", """
                        models:
                          repair-lm: {versions: ["2"], adapters: [gates, doors], weight_bytes: 1536MiB}
                        deployments:
                          repair:
                            version: "2"
                            adapters: [doors]
                            online: {enabled: false, first_token: 1s, between_tokens: 100ms, timeout: 2m}
                            batch: {enabled: false, max_share: 0.5}
                        upstreams:
                          e1:
                          s1: {address: "127.0.0.1:9003", region: south, failure_domain: s-a, max_concurrent: 4}
                          e2:
                            engine_of: repair
                            address: "127.0.0.1:9001"
                            region: north
                            failure_domain: north-a
                        workspaces:
                          crews: {weight: 2, requests_per_second: 2.5, max_in_flight: 3, max_batch_items: 4}
                        routes:
                          /dispatch: {methods: [GET, PUT], repeatable: true, timeout: 90s}
                        """)
                .config();

        Approvals.verify(ConfigDiff.between(before, after).changes().stream()
                .map(ConfigDiff.Change::toString)
                .collect(Collectors.joining("\n")));
    }

    @Test
    void equalContentInOtherFilesIsNoDifference() {
        FleetConfig one = new ConfigFiles().with("a.yaml", ConfigFiles.BASE).config();
        FleetConfig other = new ConfigFiles()
                .with("b.yaml", ConfigFiles.BASE)
                .with("c.yaml", "deployments: {repair: {online: {first_token: 520ms}}}")
                .config()
                .atRevision(9);

        assertTrue(ConfigDiff.between(one, other).isEmpty());
    }
}
