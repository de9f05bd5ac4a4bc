package dev.lavenderline.core.admission;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Chooses the job whose item starts next: the earliest class of deadlines first (one hour each), weighted fair sharing
 * between the workspaces of a class, and the earliest deadline within a workspace.
 */
final class JobOrder {
    private static final long CLASS_SECONDS = 3600;

    private final Map<Flow, Double> served = new HashMap<>();
    private final ToIntFunction<String> weights;
    private final Map<Long, Double> virtualTimes = new HashMap<>();

    /** @param weights weight of a workspace, at least 1 */
    JobOrder(ToIntFunction<String> weights) {
        this.weights = weights;
    }

    /** Returns the next job among those that match, null if there is none. */
    OpenJob next(Collection<OpenJob> jobs, Predicate<OpenJob> condition) {
        OpenJob best = null;
        for (OpenJob job : jobs) {
            if ((best == null || before(job, best)) && condition.test(job)) {
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
        int byService = Double.compare(tag(a), tag(b));
        if (byService != 0 && !a.job.workspace().equals(b.job.workspace())) {
            return byService < 0;
        }
        int byDeadline = a.job.deadline().compareTo(b.job.deadline());
        return byDeadline != 0 ? byDeadline < 0 : a.id().compareTo(b.id()) < 0;
    }

    /** Counts an item of a job as started. */
    void started(OpenJob job) {
        Flow flow = flow(job);
        double tag = tag(job);
        virtualTimes.merge(flow.deadlineClass, tag, Math::max);
        served.put(flow, tag + 1.0 / Math.max(1, weights.applyAsInt(flow.workspace)));
    }

    /** Takes back the service of an item that was cancelled. */
    void requeued(OpenJob job) {
        served.computeIfPresent(flow(job), (flow, tag) -> tag - 1.0 / Math.max(1, weights.applyAsInt(flow.workspace)));
    }

    /** Forgets the workspaces and classes without open jobs. */
    void retain(Collection<OpenJob> jobs) {
        served.keySet()
                .removeIf(flow -> jobs.stream().noneMatch(job -> flow(job).equals(flow)));
        virtualTimes.keySet().removeIf(time -> jobs.stream().noneMatch(job -> deadlineClass(job) == time));
    }

    /** A workspace that was absent starts at the virtual time of its class, so it cannot save up service. */
    private double tag(OpenJob job) {
        Flow flow = flow(job);
        double virtualTime = virtualTimes.getOrDefault(flow.deadlineClass, 0.0);
        return Math.max(virtualTime, served.getOrDefault(flow, 0.0));
    }

    private static Flow flow(OpenJob job) {
        return new Flow(job.job.workspace(), deadlineClass(job));
    }

    private static long deadlineClass(OpenJob job) {
        Instant deadline = job.job.deadline();
        return Math.floorDiv(deadline.getEpochSecond(), CLASS_SECONDS);
    }

    private record Flow(String workspace, long deadlineClass) {}
}
