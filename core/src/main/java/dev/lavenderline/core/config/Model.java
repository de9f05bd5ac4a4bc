package dev.lavenderline.core.config;

import java.util.List;

/**
 * A model that engines can load.
 *
 * @param name unique name
 * @param versions versions that deployments may refer to
 * @param adapters adapters that deployments may refer to
 * @param weightBytes size of one version's weights in bytes
 */
public record Model(String name, List<String> versions, List<String> adapters, long weightBytes) {
    public Model {
        versions = List.copyOf(versions);
        adapters = List.copyOf(adapters);
    }
}
