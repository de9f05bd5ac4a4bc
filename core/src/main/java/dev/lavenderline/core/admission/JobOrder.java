package dev.lavenderline.core.admission;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Chooses the job whose item starts next: the earliest deadline class (one hour each) first, weighted start-time fair
 * queuing between the workspaces of a class, and the earliest deadline within a workspace.
 */
final class JobOrder {
    private static final long DEADLINE_CLASS_SECONDS = 3600;

    private final Map<Flow, Double> finishTags = new HashMap<>();
    private final ToIntFunction<String> weights;
    private final Map<Long, Double> virtualTimes = new HashMap<>();

    /** @param weights weight of a workspace, at least 1 */
    JobOrder(ToIntFunction<String> weights) {
        this.weights = weights;
    }

    /** Returns the next eligible job, null if there is none. */
    OpenJob next(Collection<OpenJob> jobs, Predicate<OpenJob> eligible) {
        OpenJob best = null;
        for (OpenJob job : jobs) {
            if ((best == null || before(job, best)) && eligible.test(job)) {
                best = job;
            }
        }
        return best;
    }

    private boolean before(OpenJob a, OpenJob b) {
        long classA = deadlineClass(a);
        long classB = deadlineClass(b);
        if (classA != classB) {
            return classA < classB;
        }
        int byTag = Double.compare(startTag(a), startTag(b));
        if (byTag != 0 && !a.job.workspace().equals(b.job.workspace())) {
            return byTag < 0;
        }
        int byDeadline = a.job.deadline().compareTo(b.job.deadline());
        return byDeadline != 0 ? byDeadline < 0 : a.id().compareTo(b.id()) < 0;
    }

    /** Charges the job's workspace for an item that starts. */
    void started(OpenJob job) {
        Flow flow = flow(job);
        double tag = startTag(job);
        virtualTimes.merge(flow.deadlineClass, tag, Math::max);
        finishTags.put(flow, tag + 1.0 / Math.max(1, weights.applyAsInt(flow.workspace)));
    }

    /** Refunds the charge for an item that was cancelled. */
    void requeued(OpenJob job) {
        finishTags.computeIfPresent(
                flow(job), (flow, tag) -> tag - 1.0 / Math.max(1, weights.applyAsInt(flow.workspace)));
    }

    /** Drops the state of workspaces and deadline classes without open jobs. */
    void retainOnly(Collection<OpenJob> jobs) {
        finishTags
                .keySet()
                .removeIf(flow -> jobs.stream().noneMatch(job -> flow(job).equals(flow)));
        virtualTimes
                .keySet()
                .removeIf(deadlineClass -> jobs.stream().noneMatch(job -> deadlineClass(job) == deadlineClass));
    }

    /** Returns the start tag, at least the virtual time of the class, so that an idle workspace saves up no service. */
    private double startTag(OpenJob job) {
        Flow flow = flow(job);
        double virtualTime = virtualTimes.getOrDefault(flow.deadlineClass, 0.0);
        return Math.max(virtualTime, finishTags.getOrDefault(flow, 0.0));
    }

    private static Flow flow(OpenJob job) {
        return new Flow(job.job.workspace(), deadlineClass(job));
    }

    private static long deadlineClass(OpenJob job) {
        Instant deadline = job.job.deadline();
        return Math.floorDiv(deadline.getEpochSecond(), DEADLINE_CLASS_SECONDS);
    }

    private record Flow(String workspace, long deadlineClass) {}
}
