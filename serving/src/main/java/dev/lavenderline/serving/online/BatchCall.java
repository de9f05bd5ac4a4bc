package dev.lavenderline.serving.online;

/** A call about an accepted job. Immutable. */
public sealed interface BatchCall {
    /** Returns the id of the job. */
    String job();

    /**
     * Reads results.
     *
     * @param after position of the first result, from 0
     */
    record ReadResults(String job, int after) implements BatchCall {}

    /**
     * Reads the body of an item without a result.
     *
     * @param item id of the item
     */
    record ReadBody(String job, String item) implements BatchCall {}

    /** Ends a job. */
    record End(String job) implements BatchCall {}
}
