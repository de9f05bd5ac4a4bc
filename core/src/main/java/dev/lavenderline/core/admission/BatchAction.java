package dev.lavenderline.core.admission;

/** What the node must do for a batch item. */
public sealed interface BatchAction {
    /** The item that is concerned. */
    ItemRef item();

    /** The engine that is concerned. */
    String upstream();

    /**
     * Sends an item to an engine.
     *
     * @param attempt number of the attempt, from 1; cancelled attempts do not count
     */
    record Start(ItemRef item, String upstream, int attempt) implements BatchAction {}

    /**
     * Cancels an item on an engine. The node confirms with {@link ItemOutcome#CANCELLED}, or reports the answer if it
     * arrived before.
     */
    record Cancel(ItemRef item, String upstream) implements BatchAction {}
}
