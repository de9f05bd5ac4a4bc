package dev.lavenderline.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Guards against a fault that hides another one, or that is reported at a line that did not set the value. */
class ConfigFaultsTest {
    private final ConfigFiles files = new ConfigFiles().with("10-base.yaml", ConfigFiles.BASE);

    @Test
    void allFaultsOfAFolderAtOnce() {
        files.with("20-faults.yaml", """
                models:
                  Bad Name: {versions: [], weight_bytes: 14}
                  empty: {}
                  repair-lm:
                    weight_bytes: 14 GB
                    size: 7
                  second:
                    versions: [1.10, "1", "1"]
                    weight_bytes: 20TB
                deployments:
                  repair:
                    version: "3"
                    adapters:
                      - gates
                      - barriers
                    online:
                      first_token: 90s
                      between_tokens: 5
                      timeout: 5 s
                      enabled: yes please
                    batch: {max_share: 1.5}
                  orphan: {model: none, version: "1"}
                  late: {model: repair-lm, version: "1", online: {first_token: 2m}}
                  text: wrong
                upstreams:
                  e1:
                    address: localhost:9001
                    max_concurrent: 0
                  e2: {engine_of: missing, service: x, address: "127.0.0.1:9002", region: 1, failure_domain: b}
                  e3: {address: "127.0.0.1:0", region: north}
                  s1: {checks_fencing: true, max_concurrent: 1.5}
                workspaces:
                  crews:
                    weight: heavy
                    max_in_flight: -1
                    requests_per_second: .inf
                  copy: {tokens_sha256: ["0000000000000000000000000000000000000000000000000000000000000000"]}
                  digits: {tokens_sha256: [0000000000000000000000000000000000000000000000000000000000000001]}
                  plain: {tokens_sha256: [secret, ABCDEF0000000000000000000000000000000000000000000000000000000000]}
                  none: {tokens_sha256: token}
                routes:
                  dispatch: {service: dispatch}
                  /dispatch/: {service: dispatch}
                  /v1/files: {service: dispatch}
                  /other: {service: other, methods: [get], repeatable: 1, timeout: 2h}
                upstream: {}
                """);
        files.with("30-removes.yaml", "upstreams:\n  s1:\n    region: null\n");

        Approvals.verify(files.faultText());
    }

    @Test
    void syntaxFaultsNameTheLine() {
        files.with("20-tab.yaml", "models:\n  a:\n\tversions: [x]\n");
        files.with("30-open.yaml", "models:\n  a: [x\n");
        files.with("40-two.yaml", "models: {}\n---\nmodels: {}\n");
        files.with("50-twice.yaml", "models: {}\nroutes: {}\nmodels: {}\n");
        files.with("60-list.yaml", "- models\n");
        files.with("70-alias.yaml", "models: &m {}\nroutes: *m\n");
        files.with("80-bytes.yaml", "models: {}\n# \u00e4\n".getBytes(StandardCharsets.ISO_8859_1));
        files.with("90-deep.yaml", "models: " + "[".repeat(200) + "]".repeat(200) + "\n");

        Approvals.verify(files.faultText());
    }

    @Test
    void unreadableFileCausesNoFaultsAboutUndefinedNames() {
        List<ConfigFault> faults = new ConfigFiles()
                .with("10-models.yaml", "models: {a\n")
                .with("20-deployments.yaml", "deployments: {d: {model: a, version: '1', adapters: x}}\n")
                .faults();

        assertEquals(
                List.of("10-models.yaml", "20-deployments.yaml"),
                faults.stream().map(ConfigFault::file).toList());
        assertEquals("deployments.d.adapters", faults.get(1).field());
    }

    @Test
    void faultIsReportedWhereTheLastFileSetTheValue() {
        files.with("20.yaml", "\n\ndeployments: {repair: {version: '7'}}\n");
        files.with("30.yaml", "deployments:\n  repair:\n    online: {timeout: 4m}\n");

        assertEquals("20.yaml:3: deployments.repair.version: model 'repair-lm' has no version '7'", files.faultText());
    }

    @Test
    void fileOverTheSizeLimitIsRejectedAndOneAtTheLimitIsNot() {
        String line = "#".repeat(1023) + "\n";
        String full =
                String.join("", IntStream.range(0, 1024).mapToObj(i -> line).toList());
        files.with("20.yaml", full);
        files.config();

        files.with("20.yaml", full + "#");

        assertEquals("20.yaml:1: has 1048577 bytes, more than the limit of 1048576", files.faultText());
    }
}
