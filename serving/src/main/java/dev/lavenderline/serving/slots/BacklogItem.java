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
 * @param workspace name of the workspace that submitted it, empty if there is none
 * @param priority priority, 0 is the highest
 */
public record BacklogItem(
        ItemRef item,
        Map<String, Integer> services,
        long dueNanos,
        String acceptedBy,
        int tokens,
        String workspace,
        int priority) {
    /** Creates an item without a workspace, of the highest priority. */
    public BacklogItem(ItemRef item, Map<String, Integer> services, long dueNanos, String acceptedBy, int tokens) {
        this(item, services, dueNanos, acceptedBy, tokens, "", 0);
    }
}
