package dev.lavenderline.serving.slots;

/**
 * An item of a batch job. Immutable.
 *
 * @param job id of the job
 * @param index position of the item in the job as it was submitted, from 0
 */
public record ItemRef(String job, int index) {
    @Override
    public String toString() {
        return job + "#" + index;
    }
}
