package dev.lavenderline.serving.upstreams;

import java.util.OptionalDouble;

/**
 * What an upstream has last said of itself in a response, besides its entry in the metadata store. Immutable.
 *
 * @param upstream id of the upstream
 * @param startedMillis start of the upstream that said it, as in {@link Upstream}; a later start knows nothing of it
 * @param leaving whether it is shutting down and wants no further requests
 * @param limit requests a second that it takes from all nodes together, empty if it names no limit
 */
public record UpstreamNotice(String upstream, long startedMillis, boolean leaving, OptionalDouble limit) {}
