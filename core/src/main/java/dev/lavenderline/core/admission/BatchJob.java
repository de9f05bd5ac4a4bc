package dev.lavenderline.core.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.time.Instant;

/**
 * A batch job that this node owns.
 *
 * @param id id of the job
 * @param workspace workspace of the job
 * @param deployment deployment that runs its items
 * @param deadline time by which all items are to be complete
 * @param items number of items; their indexes are 0 to items - 1
 */
public record BatchJob(String id, String workspace, String deployment, Instant deadline, int items) {
    public BatchJob {
        requireNonNull(id, "id");
        requireNonNull(workspace, "workspace");
        requireNonNull(deployment, "deployment");
        requireNonNull(deadline, "deadline");
        checkArgument(items >= 0, "items is negative: %s", items);
    }
}
