package dev.lavenderline.serving.jobs;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Ends of jobs of which no part has been read, such as one whose submission is still on its way. Anybody can end a job
 * that does not exist, so their number is bounded, for all callers together and for each workspace, which leaves the
 * others room.
 *
 * <p>Invariant: the counts of the workspaces add up to the number of ends. Not thread-safe; confined to the event loop.
 */
final class EarlyEnds {
    /** Bounds the memory that the ends take on all nodes, about 200 bytes each. */
    static final int MAX_ENDS = 20_000;

    /** Bounds the ends of one workspace. Callers without workspaces share all the room. */
    static final int MAX_ENDS_OF_WORKSPACE = 1_000;

    /** Times of the ends by the ticker's clock, by job id. */
    private final Map<String, Long> endedNanos = new HashMap<>();

    private final Map<String, Integer> countByWorkspace = new HashMap<>();

    /** Adds the end of a job; the first one counts. */
    void add(String job, long nanos) {
        if (endedNanos.putIfAbsent(job, nanos) == null) {
            countByWorkspace.merge(JobIds.workspaceTag(job), 1, Integer::sum);
        }
    }

    /** Removes the end of a job; returns whether there was one. */
    boolean remove(String job) {
        if (endedNanos.remove(job) == null) {
            return false;
        }
        countByWorkspace.computeIfPresent(JobIds.workspaceTag(job), (tag, count) -> count > 1 ? count - 1 : null);
        return true;
    }

    void removeIf(Predicate<String> job) {
        endedNanos.keySet().stream().filter(job).toList().forEach(this::remove);
    }

    boolean contains(String job) {
        return endedNanos.containsKey(job);
    }

    /** Returns whether the end of a job may be added. */
    boolean hasRoomFor(String job) {
        String tag = JobIds.workspaceTag(job);
        return endedNanos.size() < MAX_ENDS
                && (tag.isEmpty() || countByWorkspace.getOrDefault(tag, 0) < MAX_ENDS_OF_WORKSPACE);
    }

    /** Returns the times of the ends by the ticker's clock, by job id. */
    Map<String, Long> times() {
        return Collections.unmodifiableMap(endedNanos);
    }
}
