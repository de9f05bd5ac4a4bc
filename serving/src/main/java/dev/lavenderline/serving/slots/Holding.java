package dev.lavenderline.serving.slots;

import java.util.Optional;

/**
 * A slot held by a node. Immutable.
 *
 * @param lease lease number
 * @param upstream upstream that the slot belongs to
 * @param item the batch item that runs in it, empty for an online request
 */
public record Holding(long lease, String upstream, Optional<ItemRef> item) {}
