package dev.lavenderline.core.config;

import java.util.Map;

/**
 * The merged configuration of the fleet at one revision. Immutable.
 *
 * @param revision log offset of the last accepted change, 0 before the first one
 * @param models models by name
 * @param deployments deployments by name
 * @param upstreams upstreams by name
 * @param workspaces workspaces by name
 * @param routes routes to plain services by path prefix
 */
public record FleetConfig(
        long revision,
        Map<String, Model> models,
        Map<String, Deployment> deployments,
        Map<String, Upstream> upstreams,
        Map<String, Workspace> workspaces,
        Map<String, Route> routes) {
    /** The configuration before the first accepted change. */
    public static final FleetConfig EMPTY = new FleetConfig(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    public FleetConfig {
        models = Map.copyOf(models);
        deployments = Map.copyOf(deployments);
        upstreams = Map.copyOf(upstreams);
        workspaces = Map.copyOf(workspaces);
        routes = Map.copyOf(routes);
    }

    /** Returns the same configuration at another revision. */
    public FleetConfig atRevision(long newRevision) {
        return new FleetConfig(newRevision, models, deployments, upstreams, workspaces, routes);
    }
}
