package dev.lavenderline.serving.slots;

import java.util.Map;

/**
 * An item that has no result yet. Immutable.
 *
 * @param item the item
 * @param services shares of the services that may run it
 * @param dueNanos time at which its result is due, on the ticker's scale
 */
public record BacklogItem(ItemRef item, Map<String, Integer> services, long dueNanos) {}
