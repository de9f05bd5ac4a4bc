package dev.lavenderline.core.admission;

/** An item that is in flight on an engine. */
final class RunningItem {
    final ItemRef ref;
    final EngineLease engine;
    /** Whether an earlier attempt of the item killed or timed out an engine. */
    final boolean suspect;

    OpenJob job;
    boolean hasToken;
    boolean cancelling;

    RunningItem(ItemRef ref, OpenJob job, EngineLease engine, boolean suspect) {
        this.ref = ref;
        this.job = job;
        this.engine = engine;
        this.suspect = suspect;
    }
}
