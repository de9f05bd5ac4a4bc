package dev.lavenderline.serving.workspaces;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.serving.workspaces.CallerCheck.Refusal;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards against a request that runs for the wrong workspace, and against a 401 by a node that can't know the key. */
class CallerCheckTest {
    private static final Optional<String> NO_KEY = Optional.empty();

    private final Workspace acme = new Workspace("acme", OptionalInt.of(3), 0, 0);
    private final Workspaces workspaces =
            new Workspaces.Builder().add(acme, List.of("k1", "k2")).build();

    private Either<Refusal, Caller> identify(Optional<String> key, boolean publicAccess, boolean outdated) {
        return CallerCheck.identify(workspaces, key, publicAccess, () -> outdated);
    }

    @Test
    void knownKeyNamesItsWorkspaceAlsoOnPublicRoutesAndWhileOutdated() {
        for (boolean flag : new boolean[] {false, true}) {
            Caller caller = identify(Optional.of("k2"), flag, flag).get();
            assertEquals("acme", caller.workspace());
            assertEquals(3, caller.priorityOr(7));
        }
    }

    @Test
    void onlyPublicRoutesAdmitOthers() {
        assertEquals(Either.left(Refusal.UNKNOWN_KEY), identify(Optional.of("k3"), false, false));
        assertEquals(Either.left(Refusal.NO_KEY), identify(NO_KEY, false, false));
        assertEquals(Either.left(Refusal.CONFIG_OUTDATED), identify(Optional.of("k3"), false, true));
        assertEquals(Either.left(Refusal.CONFIG_OUTDATED), identify(NO_KEY, false, true));
        assertEquals(Either.right(Caller.anonymous()), identify(Optional.of("k3"), true, true));
        assertEquals(Either.right(Caller.anonymous()), identify(NO_KEY, true, false));
    }

    @Test
    void priorityOfAcceptedJobsIsThatOfTheWorkspaceOrElseOfTheRoute() {
        assertEquals(3, workspaces.priority("acme", 5));
        assertEquals(5, workspaces.priority("removed", 5));
        assertEquals(5, Workspaces.none().priority("", 5));
    }

    @Test
    void withoutWorkspacesNobodyIsIdentified() {
        Either<Refusal, Caller> decision =
                CallerCheck.identify(Workspaces.none(), Optional.of("k1"), false, () -> true);
        assertEquals(Either.right(Caller.unidentified()), decision);
    }
}
