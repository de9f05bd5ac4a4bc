package dev.lavenderline.standins.soak;

/** What happens to a fleet under load. */
public enum Disturbance {
    /** An engine crashes; another one starts in its place. */
    ENGINE_CRASH,
    /** An engine crashes and starts again under its id. */
    ENGINE_RESTART,
    /** The engines of the service of streams are replaced by those of the next version, one after the other. */
    RELEASE,
    /** All connections of an engine are reset. */
    RESETS,
    /** Some engines refuse all requests for a while. */
    REFUSALS,
    /** The process of a node is killed and started again. */
    NODE_KILL,
    /** A node is told to end (SIGTERM) and started again. */
    NODE_END,
    /** The process of a node is suspended for a while. */
    NODE_FREEZE,
    /** The store gives no answers, refuses calls or resets connections for a while. */
    STORE_OUTAGE,
    /** Appends take effect late, or their answers are lost. */
    STORE_LATE
}
