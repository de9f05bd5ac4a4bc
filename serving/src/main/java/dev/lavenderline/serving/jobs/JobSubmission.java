package dev.lavenderline.serving.jobs;

import dev.lavenderline.proto.jobs.JobItem;
import java.util.List;

/**
 * A batch job as a caller sent it. Immutable.
 *
 * @param id id of the job, chosen by the caller
 * @param items items in the order of the submission
 */
public record JobSubmission(String id, List<JobItem> items) {
    public JobSubmission {
        items = List.copyOf(items);
    }

    /** Returns the prompt tokens and the maximum of output tokens of all items. */
    public long tokens() {
        return items.stream().mapToLong(JobItem::getTokens).sum();
    }
}
