package dev.lavenderline.serving.upstreams;

/**
 * What tries an ejected upstream: one lease of one node, whether that runs a request, the rest of a stream or a batch
 * item.
 *
 * @param node name of the node that runs it
 * @param lease number of the lease, unique on the node
 */
public record TrialHolder(String node, long lease) {}
