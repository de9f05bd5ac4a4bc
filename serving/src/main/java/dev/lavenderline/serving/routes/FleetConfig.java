package dev.lavenderline.serving.routes;

import dev.lavenderline.serving.workspaces.Workspaces;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * One version of the operators' configuration, with its routes indexed by host. Immutable and thread-safe.
 *
 * <p>Invariant: the routes of a host are ordered by the length of their prefix, longest first, so that the first match
 * is the longest one.
 */
public final class FleetConfig {
    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, Route> routesByName = new HashMap<>();
    private final Map<String, ServiceInfo> services = new HashMap<>();
    private final CallerLimits limits;
    private final Duration longestTimeout;
    private final Duration longestStreamTimeout;
    private final Workspaces workspaces;

    /** Creates a configuration without workspaces. */
    public FleetConfig(long version, Collection<Route> routes, Collection<ServiceInfo> services, CallerLimits limits) {
        this(version, routes, services, limits, Workspaces.none());
    }

    public FleetConfig(
            long version,
            Collection<Route> routes,
            Collection<ServiceInfo> services,
            CallerLimits limits,
            Workspaces workspaces) {
        this.version = version;
        this.limits = limits;
        this.workspaces = workspaces;
        this.longestTimeout =
                routes.stream().map(Route::timeout).max(Duration::compareTo).orElse(Duration.ZERO);
        this.longestStreamTimeout = routes.stream()
                .filter(route -> route.kind() == RouteKind.STREAMING && route.resumable())
                .map(Route::timeout)
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
        services.forEach(service -> this.services.put(service.name(), service));
        for (Route route : routes) {
            routesByName.put(route.name(), route);
            routesByHost.merge(route.host(), List.of(route), FleetConfig::longestFirst);
        }
    }

    private static List<Route> longestFirst(List<Route> existing, List<Route> added) {
        return Stream.concat(existing.stream(), added.stream())
                .sorted((a, b) ->
                        Integer.compare(b.pathPrefix().length(), a.pathPrefix().length()))
                .toList();
    }

    /** Returns the version; newer configurations have higher versions. */
    public long version() {
        return version;
    }

    public CallerLimits limits() {
        return limits;
    }

    public Workspaces workspaces() {
        return workspaces;
    }

    /** Returns the longest timeout of all routes; zero without routes. */
    public Duration longestTimeout() {
        return longestTimeout;
    }

    /** Returns the longest timeout of the routes whose streams may be resumed; zero without such routes. */
    public Duration longestStreamTimeout() {
        return longestStreamTimeout;
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routesByName.size();
    }

    /** Returns the route with the longest prefix that matches the path, if any. A port in the host is ignored. */
    public Optional<Route> route(String host, String path) {
        for (Route route : routesOf(host)) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns whether a host has any route. */
    public boolean hasHost(String host) {
        return !routesOf(host).isEmpty();
    }

    private List<Route> routesOf(String host) {
        return routesByHost.getOrDefault(hostName(host), List.of());
    }

    /** Returns the route with a name, if it is configured. */
    public Optional<Route> routeNamed(String name) {
        return Optional.ofNullable(routesByName.get(name));
    }

    /** Returns the route with a name if it is configured, and is one for jobs. */
    public Optional<Route> batchRouteNamed(String name) {
        return routeNamed(name).filter(route -> route.kind() == RouteKind.BATCH);
    }

    /** Returns whether two values of the Host header name the same host. Ports are ignored. */
    public static boolean sameHost(String first, String second) {
        return hostName(first).equals(hostName(second));
    }

    /** Returns whether the upstreams of a service are model engines. */
    public boolean modelEngines(String service) {
        ServiceInfo info = services.get(service);
        return info != null && info.modelEngines();
    }

    /** Returns the tokens that one engine of a service keeps in memory, 0 if that is not known. */
    public long memoryTokens(String service) {
        ServiceInfo info = services.get(service);
        return info == null ? 0 : info.memoryTokens();
    }

    private static String hostName(String host) {
        int colon = host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
