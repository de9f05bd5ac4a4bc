package dev.lavenderline.serving.jobs;

import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.serving.workspaces.Caller;
import java.util.List;

/**
 * A batch job as submitted by a caller. Immutable.
 *
 * @param id job id, chosen by the caller or, once it is {@link #by}, the internal one
 * @param workspace name of the workspace to which the job will belong, empty if there is none
 * @param items items in submission order
 */
public record JobSubmission(String id, String workspace, List<JobItem> items) {
    public JobSubmission {
        items = List.copyOf(items);
    }

    /** Creates a submission that belongs to no workspace. */
    public JobSubmission(String id, List<JobItem> items) {
        this(id, "", items);
    }

    /** Returns this submission, with the id that its caller chose, as one of the caller's workspace. */
    public JobSubmission by(Caller caller) {
        return new JobSubmission(JobIds.internal(id, caller.workspace()), caller.workspace(), items);
    }

    /** Returns whether a job has the items of this submission, in the same order. */
    public boolean hasItemsOf(Job job) {
        if (job.itemCount() != items.size()) {
            return false;
        }
        for (int i = 0; i < items.size(); i++) {
            String id = items.get(i).getId();
            if (job.item(i).filter(item -> item.getId().equals(id)).isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the sum of prompt tokens and maximum output tokens over all items. */
    public long tokens() {
        return items.stream().mapToLong(JobItem::getTokens).sum();
    }
}
