package dev.lavenderline.serving.slots;

import java.util.Map;

/**
 * A batch item without a result. Immutable.
 *
 * @param item the item
 * @param services weights of the services that may run it, by name
 * @param dueNanos time at which its result is due, in ticker time
 * @param acceptedBy name of the node that accepted its job and keeps its content, empty if unknown
 * @param tokens prompt tokens and maximum output tokens, 0 if unknown
 */
public record BacklogItem(ItemRef item, Map<String, Integer> services, long dueNanos, String acceptedBy, int tokens) {}
