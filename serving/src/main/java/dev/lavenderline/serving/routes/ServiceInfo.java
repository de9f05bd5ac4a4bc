package dev.lavenderline.serving.routes;

/**
 * A service in the operators' configuration. Immutable.
 *
 * @param name unique name
 * @param modelEngines whether its upstreams are model engines, whose slots are scheduled across nodes
 */
public record ServiceInfo(String name, boolean modelEngines) {}
