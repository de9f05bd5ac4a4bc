package dev.lavenderline.serving.slots;

/**
 * Registration of a node in the store. Immutable.
 *
 * @param name unique name
 * @param host address of the peer protocol
 * @param port port of the peer protocol
 * @param failureDomain failure domain that the node runs in
 * @param startedMillis wall clock time of its start in Unix milliseconds; used only to order nodes
 * @param capacity processing capacity relative to one core of unit speed
 */
public record NodeEntry(
        String name, String host, int port, String failureDomain, long startedMillis, double capacity) {}
