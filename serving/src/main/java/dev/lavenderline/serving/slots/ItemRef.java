package dev.lavenderline.serving.slots;

/**
 * An item of a batch job. Immutable.
 *
 * @param job job id
 * @param index zero-based position of the item in the submitted job
 */
public record ItemRef(String job, int index) {
    // Handwritten: the generated methods use method handles, which is slow for map keys of every scheduling round.
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
