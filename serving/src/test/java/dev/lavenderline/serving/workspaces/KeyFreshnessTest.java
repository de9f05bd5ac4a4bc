package dev.lavenderline.serving.workspaces;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.workspaces.KeyFreshness.Decision;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/**
 * Guards against keys that are admitted longer than the bound after their removal, and against refusals without cause.
 */
class KeyFreshnessTest {
    private static final Duration BOUND = Duration.ofSeconds(5);

    private final ManualTime time = new ManualTime();
    private final ConfigAge age = new ConfigAge(time);
    private Workspaces workspaces = withKey("k1");
    private final KeyFreshness keys = new KeyFreshness(Optional.of(BOUND), age, () -> workspaces);

    private static Workspaces withKey(String key) {
        return new Workspaces.Builder()
                .add(new Workspace("w", OptionalInt.empty(), 0, 0), List.of(key))
                .build();
    }

    private void confirm() {
        age.hold(1);
        age.confirmed(1, ClockReading.now(time));
    }

    @Test
    void keyIsAdmittedUntilTheLimit() {
        assertEquals(Decision.OUTDATED, keys.check("k1"), "before the first confirmation");
        confirm();
        time.advance(Duration.ofMillis(4749));
        assertEquals(Decision.ADMITTED, keys.check("k1"));
        time.advance(Duration.ofMillis(1));
        assertEquals(Decision.OUTDATED, keys.check("k1"));
        assertEquals(Decision.OUTDATED, keys.check("unknown"), "the key may be new");
        confirm();
        assertEquals(Decision.ADMITTED, keys.check("k1"));
    }

    @Test
    void removedKeyIsNotAdmitted() {
        confirm();
        workspaces = withKey("k2");
        assertEquals(Decision.KEY_REMOVED, keys.check("k1"));
    }

    @Test
    void nothingIsCheckedWithoutBoundOrWorkspaces() {
        KeyFreshness unbounded = new KeyFreshness(Optional.empty(), age, () -> workspaces);
        assertEquals(Decision.ADMITTED, unbounded.check("unknown"));
        workspaces = Workspaces.none();
        assertEquals(Decision.ADMITTED, keys.check("unknown"));
    }

    /** The wall clock jumps by the suspension, the monotonic clock does not count it. */
    @Test
    void suspensionCounts() {
        confirm();
        time.moveWall(Duration.ofSeconds(6));
        assertFalse(keys.fresh());
        confirm();
        assertTrue(keys.fresh());
    }

    @Test
    void wallClockSetBackGainsNoTime() {
        confirm();
        time.moveWall(Duration.ofHours(-1));
        time.advance(Duration.ofMillis(4749));
        assertTrue(keys.fresh());
        time.advance(Duration.ofMillis(1));
        assertFalse(keys.fresh());
    }

    /** Guards against a refusal that lasts as long as the error of the clock. */
    @Test
    void wallClockSetForwardCostsOneConfirmation() {
        confirm();
        time.moveWall(Duration.ofHours(1));
        assertFalse(keys.fresh());
        confirm();
        time.advance(Duration.ofSeconds(1));
        time.moveWall(Duration.ofHours(-1));
        assertTrue(keys.fresh());
    }
}
