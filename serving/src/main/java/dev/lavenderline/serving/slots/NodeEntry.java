package dev.lavenderline.serving.slots;

/**
 * A node as it registered itself. Immutable.
 *
 * @param name name, unique
 * @param host address of the peer protocol
 * @param port port of the peer protocol
 * @param failureDomain where it runs
 * @param startedMillis its wall clock at its start, in milliseconds since 1970; only orders nodes
 * @param capacity processing capacity relative to one core of unit speed
 */
public record NodeEntry(
        String name, String host, int port, String failureDomain, long startedMillis, double capacity) {}
