package dev.lavenderline.serving.slots;

import java.time.Duration;

/**
 * States that a node has responded, as nodes tell it each other. Immutable.
 *
 * @param node name of the node
 * @param beat count of the node's own that grows while it runs; a sighting without a larger one is a copy
 * @param age time since the node said so
 * @param stateAge age of the node's job state at that time
 */
record NodeSighting(String node, long beat, Duration age, Duration stateAge) {}
