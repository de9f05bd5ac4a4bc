package dev.lavenderline.core.admission;

/** An item that is in flight on an engine. */
final class RunningItem {
    final ItemRef ref;
    final EngineLease engine;
    /** Whether an earlier attempt of the item crashed an engine or timed out. */
    final boolean previouslyFailed;

    OpenJob job;
    boolean hasFirstToken;
    boolean cancelling;

    RunningItem(ItemRef ref, OpenJob job, EngineLease engine, boolean previouslyFailed) {
        this.ref = ref;
        this.job = job;
        this.engine = engine;
        this.previouslyFailed = previouslyFailed;
    }
}
