package dev.lavenderline.core.routing;

import dev.lavenderline.core.config.Deployment;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.core.config.Workspace;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Configurations for tests. */
public final class Fleets {
    public static final String MODEL = "diagnosis";

    private Fleets() {}

    public static Upstream engine(String name, String region, String domain, int port, int sequences) {
        return new Upstream(name, Upstream.Kind.ENGINE, MODEL, "127.0.0.1:" + port, region, domain, sequences, true);
    }

    /** Returns engines e0, e1, ... in one region. */
    public static FleetConfig engines(int count, int sequences) {
        Upstream[] upstreams = new Upstream[count];
        for (int i = 0; i < count; i++) {
            upstreams[i] = engine("e" + i, "north", "n1", 9000 + i, sequences);
        }
        return of(List.of(), upstreams);
    }

    public static FleetConfig of(List<Workspace> workspaces, Upstream... upstreams) {
        Map<String, Upstream> byName = new HashMap<>();
        for (Upstream upstream : upstreams) {
            byName.put(upstream.name(), upstream);
        }
        Map<String, Workspace> workspacesByName = new HashMap<>();
        workspaces.forEach(workspace -> workspacesByName.put(workspace.name(), workspace));
        Deployment deployment = new Deployment(
                MODEL,
                "repair",
                "1",
                List.of(),
                Duration.ofMillis(600),
                Duration.ofMillis(100),
                Duration.ofSeconds(60),
                true,
                true,
                1.0);
        return new FleetConfig(1, Map.of(), Map.of(MODEL, deployment), byName, workspacesByName, Map.of());
    }

    public static Workspace workspace(String name, int weight, double rate, int inFlight) {
        return new Workspace(name, List.of(), weight, rate, inFlight, 0);
    }
}
