package dev.lavenderline.serving.workspaces;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** Decides from its key who sent a request. Stateless and thread-safe. */
public final class CallerCheck {
    /** Why a request is not admitted. */
    public enum Refusal {
        /** The request has no key, or not exactly one. */
        NO_KEY,
        /** The configuration does not have the key. */
        UNKNOWN_KEY,
        /** The configuration does not have the key, or any, but a newer one may. */
        CONFIG_OUTDATED
    }

    private CallerCheck() {}

    /**
     * Returns the caller, or why its request is not admitted. Takes the same time for any number of workspaces.
     *
     * @param key key of the request, empty if it has none or not exactly one
     * @param publicAccess whether the request is admitted without a key
     * @param configOutdated returns whether there may be a newer configuration; only called if the key is not known
     */
    public static Either<Refusal, Caller> identify(
            Workspaces workspaces, Optional<String> key, boolean publicAccess, BooleanSupplier configOutdated) {
        if (!workspaces.enabled()) {
            return Either.right(Caller.unidentified());
        }
        Optional<Workspace> workspace = key.flatMap(workspaces::ofKey);
        if (workspace.isPresent()) {
            return Either.right(Caller.of(workspace.get()));
        }
        if (publicAccess) {
            return Either.right(Caller.anonymous());
        }
        // A newer configuration may have the key, a public route or no workspaces at all.
        if (configOutdated.getAsBoolean()) {
            return Either.left(Refusal.CONFIG_OUTDATED);
        }
        return Either.left(key.isPresent() ? Refusal.UNKNOWN_KEY : Refusal.NO_KEY);
    }
}
