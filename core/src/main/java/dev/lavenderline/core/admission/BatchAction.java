package dev.lavenderline.core.admission;

/** Action that a node must take for a batch item. */
public sealed interface BatchAction {
    /** Returns the item to start or cancel. */
    ItemRef item();

    /** Returns the name of the engine. */
    String upstream();

    /**
     * Sends an item to an engine.
     *
     * @param attempt number of the attempt, from 1; attempts that {@link AttemptFailure} does not count are left out
     */
    record Start(ItemRef item, String upstream, int attempt) implements BatchAction {}

    /**
     * Cancels an item on an engine. The node confirms with {@link AttemptFailure#CANCELLED}, or reports the answer if
     * it arrived first.
     */
    record Cancel(ItemRef item, String upstream) implements BatchAction {}
}
