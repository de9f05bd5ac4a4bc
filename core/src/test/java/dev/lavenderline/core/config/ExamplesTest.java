package dev.lavenderline.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against examples that the parser rejects, or that no longer have the documented sizes. */
class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @CsvSource({"gatewright, 8, 3, 3", "commons, 13, 3, 3", "quickstart, 4, 1, 3"})
    void examplesHaveTheDocumentedSizes(String folder, int engines, int services, int domains) throws IOException {
        FleetConfig config = load(folder);

        assertEquals(engines, upstreams(config, Upstream.Kind.ENGINE).size());
        assertEquals(services, upstreams(config, Upstream.Kind.SERVICE).size());
        assertEquals(
                domains,
                upstreams(config, Upstream.Kind.ENGINE).stream()
                        .map(Upstream::failureDomain)
                        .distinct()
                        .count());
        assertFalse(config.workspaces().isEmpty());
    }

    @Test
    void everyExampleIsCovered() throws IOException {
        try (Stream<Path> folders = Files.list(EXAMPLES)) {
            assertEquals(
                    Set.of("gatewright", "commons", "quickstart"),
                    folders.map(folder -> folder.getFileName().toString()).collect(Collectors.toSet()));
        }
    }

    @Test
    void quickstartHasTheAddressesTokensAndRoutesThatItsDriverUses() throws IOException {
        FleetConfig config = load("quickstart");

        assertEquals(
                List.of("127.0.0.1:19101", "127.0.0.1:19102", "127.0.0.1:19103", "127.0.0.1:19104"),
                upstreams(config, Upstream.Kind.ENGINE).stream()
                        .map(Upstream::address)
                        .sorted()
                        .toList());
        assertEquals(
                1,
                upstreams(config, Upstream.Kind.ENGINE).stream()
                        .filter(engine -> !engine.checksFencing())
                        .count());
        assertEquals(
                "127.0.0.1:19110",
                upstreams(config, Upstream.Kind.SERVICE).get(0).address());
        assertEquals(Set.of("repair"), config.deployments().keySet());
        assertEquals(
                List.of(sha256("field-crews-token")),
                config.workspaces().get("field-crews").tokenSha256());
        assertEquals(
                List.of(sha256("estate-reports-token")),
                config.workspaces().get("estate-reports").tokenSha256());
        assertFalse(config.routes().get("/dispatch/lockout").repeatable());
        assertEquals(List.of("POST"), config.routes().get("/dispatch/lockout").methods());
        assertEquals(true, config.routes().get("/dispatch/parts").repeatable());
        assertEquals(List.of("GET"), config.routes().get("/dispatch/parts").methods());
    }

    private static List<Upstream> upstreams(FleetConfig config, Upstream.Kind kind) {
        return config.upstreams().values().stream()
                .filter(upstream -> upstream.kind() == kind)
                .toList();
    }

    private static String sha256(String token) {
        return Hashing.sha256().hashString(token, StandardCharsets.UTF_8).toString();
    }

    private static FleetConfig load(String folder) throws IOException {
        ConfigFiles files = new ConfigFiles();
        try (Stream<Path> paths = Files.list(EXAMPLES.resolve(folder))) {
            for (Path path : paths.toList()) {
                files.with(path.getFileName().toString(), Files.readAllBytes(path));
            }
        }
        return files.config();
    }
}
