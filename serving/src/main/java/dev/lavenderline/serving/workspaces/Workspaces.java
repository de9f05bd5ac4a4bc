package dev.lavenderline.serving.workspaces;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The workspaces of a configuration and the API keys of their callers. Immutable and thread-safe.
 *
 * <p>Invariant: a key belongs to one workspace. Keys appear in no message and not in {@link #toString}.
 */
public final class Workspaces {
    private static final Workspaces NONE = new Workspaces(false, Map.of(), Map.of());

    private final boolean enabled;
    private final Map<String, Workspace> byName;
    private final Map<String, Workspace> byKey;

    private Workspaces(boolean enabled, Map<String, Workspace> byName, Map<String, Workspace> byKey) {
        this.enabled = enabled;
        this.byName = byName;
        this.byKey = byKey;
    }

    /** Returns the value for a configuration without workspaces, whose callers need no keys. */
    public static Workspaces none() {
        return NONE;
    }

    /** Collects workspaces and their keys. Not thread-safe. */
    public static final class Builder {
        private final Map<String, Workspace> byName = new HashMap<>();
        private final Map<String, Workspace> byKey = new HashMap<>();

        /**
         * Adds a workspace.
         *
         * @throws IllegalArgumentException if its name or one of the keys is known already, or a key is empty
         */
        public Builder add(Workspace workspace, Collection<String> keys) {
            if (byName.put(workspace.name(), workspace) != null) {
                throw new IllegalArgumentException("workspace " + workspace.name() + " occurs twice");
            }
            for (String key : keys) {
                addKey(key, workspace);
            }
            return this;
        }

        private void addKey(String key, Workspace workspace) {
            if (key.isEmpty()) {
                throw new IllegalArgumentException("a key of workspace " + workspace.name() + " is empty");
            }
            Workspace other = byKey.put(key, workspace);
            if (other != null) {
                throw new IllegalArgumentException(
                        "a key of workspace " + workspace.name() + " occurs twice, first in workspace " + other.name());
            }
        }

        public Workspaces build() {
            return new Workspaces(true, Map.copyOf(byName), Map.copyOf(byKey));
        }
    }

    /** Returns whether callers need a key on routes that are not public. */
    public boolean enabled() {
        return enabled;
    }

    /** Returns the workspace of a key; empty if the key is unknown. */
    public Optional<Workspace> ofKey(String key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /** Returns the workspace with a name. */
    public Optional<Workspace> named(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Returns the priority of what a workspace has sent to a route with the given priority; that of the route if the
     * workspace has none or is no longer configured.
     */
    public int priority(String workspace, int routePriority) {
        return named(workspace).map(known -> known.priorityOr(routePriority)).orElse(routePriority);
    }

    /** Returns all workspaces, in no particular order. */
    public Collection<Workspace> all() {
        return byName.values();
    }
}
