package dev.lavenderline.node.supervisor;

import io.smallrye.mutiny.Uni;
import java.util.Map;

/**
 * A part of a process that a supervisor starts, stops and restarts.
 *
 * <p>All methods are called on the node's event loop. A component that was stopped is never started again; a restart
 * creates a new one.
 */
public interface Component {
    /** Starts the component; completes when later components can use it. */
    Uni<Void> start();

    /** Stops the component and releases what it holds; idempotent, also after a failed start. */
    Uni<Void> stop();

    /** Returns a snapshot for the state dump, serializable as JSON. */
    Map<String, Object> state();
}
