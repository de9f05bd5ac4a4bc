package dev.lavenderline.serving.jobs;

import dev.lavenderline.serving.workspaces.Caller;
import java.util.Optional;

/**
 * Finds the job that a call is about by who calls and whose the job was when it was accepted. Routes, hosts and keys
 * that have changed since then do not matter.
 *
 * <p>A job that was accepted while there were no workspaces was promised to all callers, so callers of all workspaces
 * find it, unless their own has a job of that id. Conversely, while there are no workspaces, nobody can show that a
 * workspace's job is theirs, so such a job is not found, but its owner counts as uncertain.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class JobLookup {
    private final JobLedger ledger;

    /**
     * The result of a lookup. Immutable.
     *
     * @param job the job, empty if the caller has none of that id
     * @param ownerUncertain whether a job of that id exists that may be the caller's
     */
    public record Finding(Optional<Job> job, boolean ownerUncertain) {
        /** Returns whether no job of that id exists for the caller, as far as is known. */
        public boolean isUnknown() {
            return job.isEmpty() && !ownerUncertain;
        }
    }

    public JobLookup(JobLedger ledger) {
        this.ledger = ledger;
    }

    /**
     * Returns the job of a caller among those that this node has read.
     *
     * @param callerId id that the caller chose
     */
    public Finding find(String callerId, Caller caller) {
        Optional<Job> job = ownJob(callerId, caller)
                .or(() ->
                        ledger.find(callerId).filter(found -> found.workspace().isEmpty()));
        boolean uncertain = job.isEmpty() && !caller.identified() && existsInAnyWorkspace(callerId);
        return new Finding(job, uncertain);
    }

    private Optional<Job> ownJob(String callerId, Caller caller) {
        return ledger.find(JobIds.internal(callerId, caller.workspace()))
                .filter(job -> job.workspace().equals(caller.workspace()));
    }

    private boolean existsInAnyWorkspace(String callerId) {
        return ledger.all().stream()
                .anyMatch(job -> !job.workspace().isEmpty() && JobIds.isInternalOf(job.id(), callerId));
    }
}
