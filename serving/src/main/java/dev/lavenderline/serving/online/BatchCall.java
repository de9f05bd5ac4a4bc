package dev.lavenderline.serving.online;

/** A request about an accepted batch job. Immutable. */
public sealed interface BatchCall {
    /** Returns the id of the job. */
    String job();

    /**
     * Reads the results of a job.
     *
     * @param after position of the first result to return, from 0
     */
    record ReadResults(String job, int after) implements BatchCall {}

    /**
     * Reads the submitted body of an item.
     *
     * @param item id of the item
     */
    record ReadBody(String job, String item) implements BatchCall {}

    /** Cancels a job. */
    record Cancel(String job) implements BatchCall {}
}
