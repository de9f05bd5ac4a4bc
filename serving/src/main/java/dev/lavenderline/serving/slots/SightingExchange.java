package dev.lavenderline.serving.slots;

import java.util.List;

/** What a node tells others of the nodes that respond, and learns from them. Confined to the event loop. */
interface SightingExchange {
    /** Exchanges nothing. */
    SightingExchange NONE = new SightingExchange() {
        @Override
        public List<NodeSighting> report() {
            return List.of();
        }

        @Override
        public void received(List<NodeSighting> sightings) {}
    };

    /** Returns what to tell another node. */
    List<NodeSighting> report();

    /** Handles what another node tells. */
    void received(List<NodeSighting> sightings);
}
