package dev.lavenderline.serving.slots;

import java.time.Duration;
import java.util.Set;

/**
 * A request of a node for a slot. Immutable.
 *
 * @param node name of the node
 * @param lease number of the lease, unique for the node
 * @param service service of the request
 * @param targetLeft time left until the latency target, negative if it has passed
 * @param deadlineLeft time left until the request is given up
 * @param excluded upstreams that failed the request
 * @param prefix hash of the shared part of the prompt, 0 if there is none
 * @param returning whether the caller was turned away before
 */
public record SlotRequest(
        String node,
        long lease,
        String service,
        Duration targetLeft,
        Duration deadlineLeft,
        Set<String> excluded,
        long prefix,
        boolean returning) {}
