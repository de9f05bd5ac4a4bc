package dev.lavenderline.serving.slots;

import java.util.Optional;

/**
 * A slot that a node holds. Immutable.
 *
 * @param lease number of the lease
 * @param upstream upstream on which the slot is
 * @param item the item that runs there, none for an online request
 */
public record Holding(long lease, String upstream, Optional<ItemRef> item) {}
