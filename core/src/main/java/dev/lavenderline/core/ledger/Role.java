package dev.lavenderline.core.ledger;

/**
 * A cluster-wide singleton task and the node that performs it. Immutable.
 *
 * @param name name of the role
 * @param holder incarnation of the node that holds it
 * @param claim offset of the claim, the fencing token of the orders that the holder sends
 */
public record Role(String name, String holder, long claim) {}
