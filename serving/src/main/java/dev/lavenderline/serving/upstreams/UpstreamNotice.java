package dev.lavenderline.serving.upstreams;

/**
 * What an upstream has last said of itself in a response, besides its entry in the metadata store. Immutable.
 *
 * @param upstream id of the upstream
 * @param startedMillis start of the upstream that said it, as in {@link Upstream}; a later start knows nothing of it
 * @param leaving whether it is shutting down and wants no further requests
 */
public record UpstreamNotice(String upstream, long startedMillis, boolean leaving) {}
