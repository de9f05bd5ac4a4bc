package dev.lavenderline.serving.workspaces;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Who sent a request, as decided when it was admitted: later changes of keys and workspaces do not apply to it.
 * Immutable.
 *
 * @param identified whether the node decides who the caller is; if so, what the caller says in the headers for the key
 *     and the workspace is not forwarded
 * @param workspace name of the workspace, empty if there is none
 * @param priority priority of the workspace, empty if that of the route applies
 */
public record Caller(boolean identified, String workspace, OptionalInt priority) {
    private static final Caller UNIDENTIFIED = new Caller(false, "", OptionalInt.empty());
    private static final Caller ANONYMOUS = new Caller(true, "", OptionalInt.empty());

    /** Returns the caller of a request while no workspaces are configured. */
    public static Caller unidentified() {
        return UNIDENTIFIED;
    }

    /** Returns the caller of a request without a known key on a public route. */
    public static Caller anonymous() {
        return ANONYMOUS;
    }

    /** Returns a caller with a key of a workspace. */
    public static Caller of(Workspace workspace) {
        return new Caller(true, workspace.name(), workspace.priority());
    }

    /**
     * Returns the caller on whose behalf items of a job run.
     *
     * @param workspace name of the workspace that submitted the job, which may have been removed, empty if there is
     *     none
     * @param enabled whether workspaces are configured
     */
    public static Caller ofJob(String workspace, boolean enabled) {
        return new Caller(enabled || !workspace.isEmpty(), workspace, OptionalInt.empty());
    }

    /** Returns whether the caller belongs to a workspace. */
    public boolean hasWorkspace() {
        return !workspace.isEmpty();
    }

    /** Returns the name of the workspace, for logs. */
    public Optional<String> workspaceName() {
        return Optional.of(workspace).filter(name -> !name.isEmpty());
    }

    /** Returns the priority of requests of this caller on a route with the given priority. */
    public int priorityOr(int routePriority) {
        return priority.orElse(routePriority);
    }
}
