package dev.lavenderline.core.ledger;

/**
 * A claimed singleton duty.
 *
 * @param name name of the duty
 * @param holder incarnation of the node that holds it
 * @param claim offset of the claim, the fencing number of orders
 */
public record Role(String name, String holder, long claim) {}
