package dev.lavenderline.serving.routes;

/**
 * A service in the operators' configuration. Immutable.
 *
 * @param name unique name
 * @param modelEngines whether its upstreams are model engines, whose slots are scheduled across nodes
 * @param memoryTokens tokens that one of its engines keeps in memory, 0 if that is not known
 */
public record ServiceInfo(String name, boolean modelEngines, long memoryTokens) {
    /** Creates a service whose engines' memory is not known. */
    public ServiceInfo(String name, boolean modelEngines) {
        this(name, modelEngines, 0);
    }
}
