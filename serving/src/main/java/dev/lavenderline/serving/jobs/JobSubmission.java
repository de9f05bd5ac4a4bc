package dev.lavenderline.serving.jobs;

import dev.lavenderline.proto.jobs.JobItem;
import java.util.List;

/**
 * A batch job as submitted by a caller. Immutable.
 *
 * @param id job id, chosen by the caller
 * @param items items in submission order
 */
public record JobSubmission(String id, List<JobItem> items) {
    public JobSubmission {
        items = List.copyOf(items);
    }

    /** Returns the sum of prompt tokens and maximum output tokens over all items. */
    public long tokens() {
        return items.stream().mapToLong(JobItem::getTokens).sum();
    }
}
