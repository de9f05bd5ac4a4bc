package dev.lavenderline.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against an override file that is ignored, replaces a whole entry, or cannot remove an entry or field. */
class ConfigMergeTest {
    private final ConfigFiles files = new ConfigFiles().with("10-base.yaml", ConfigFiles.BASE);

    @Test
    void laterFieldOverridesAndOtherFieldsStay() {
        files.with("20-more.yml", "deployments: {repair: {version: '2', online: {first_token: 2m}}}\n");
        files.with("30-last.yaml", "deployments: {repair: {online: {timeout: 5m}}}\n");

        Deployment repair = files.config().deployments().get("repair");

        assertEquals("2", repair.version());
        assertEquals("repair-lm", repair.model());
        assertEquals(Duration.ofMinutes(2), repair.firstToken());
        assertEquals(Duration.ofMinutes(5), repair.timeout());
        assertEquals(Duration.ofMillis(74), repair.betweenTokens());
    }

    @Test
    void fileNamesDecideTheOrderOfMerging() {
        files.with("05-early.yaml", "deployments: {repair: {version: '2'}}\n");

        assertEquals("1", files.config().deployments().get("repair").version());
    }

    @Test
    void laterListReplacesTheWholeList() {
        files.with("20.yaml", "models: {repair-lm: {versions: ['1']}}\n");

        assertEquals(List.of("1"), files.config().models().get("repair-lm").versions());
    }

    @Test
    void nullRemovesEntriesFieldsAndSections() {
        files.with(
                "20.yaml",
                "upstreams: {e1: null}\ndeployments: {repair: {adapters: ~, batch: {max_share: 0.5}}}\nroutes:\n");
        files.with("30.yaml", "deployments: {repair: {batch: {max_share: null}}}\n");

        FleetConfig config = files.config();

        assertEquals(Set.of("s1"), config.upstreams().keySet());
        assertEquals(List.of(), config.deployments().get("repair").adapters());
        assertEquals(1.0, config.deployments().get("repair").batchMaxShare());
        assertTrue(config.routes().isEmpty());
    }

    @Test
    void entryCanBeAddedAgainAfterItsRemoval() {
        files.with("20.yaml", "upstreams: {e1: null}\n");
        files.with(
                "30.yaml",
                "upstreams: {e1: {engine_of: repair, address: '[::1]:7', region: south, failure_domain: south-a}}\n");

        Upstream engine = files.config().upstreams().get("e1");

        assertEquals("south", engine.region());
        assertEquals(7, engine.port());
        assertEquals(16, engine.maxConcurrent());
    }

    @Test
    void otherFilesOfTheFolderAreIgnored() {
        files.with("README.md", "models: not yaml: at all").with("40-empty.yaml", "# nothing yet\n");

        assertEquals(Set.of("e1", "s1"), files.config().upstreams().keySet());
    }
}
