package dev.lavenderline.serving.slots;

/**
 * An item of a batch job. Immutable.
 *
 * @param job id of the job
 * @param index position of the item in the job as it was submitted, from 0
 */
public record ItemRef(String job, int index) {
    // Written out: the generated methods go through method handles, and items are keys in each scheduling round.
    @Override
    public boolean equals(Object other) {
        return other instanceof ItemRef item && item.index == index && item.job.equals(job);
    }

    @Override
    public int hashCode() {
        return 31 * job.hashCode() + index;
    }

    @Override
    public String toString() {
        return job + "#" + index;
    }
}
