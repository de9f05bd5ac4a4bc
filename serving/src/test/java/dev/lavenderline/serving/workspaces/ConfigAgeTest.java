package dev.lavenderline.serving.workspaces;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import java.time.Duration;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against a configuration that is taken to be newer, or confirmed later, than it was. */
class ConfigAgeTest {
    private final ManualTime time = new ManualTime();
    private final ConfigAge age = new ConfigAge(time);

    private void confirm(long version) {
        age.confirmed(version, ClockReading.now(time));
    }

    private void assertUnconfirmed() {
        assertTrue(age.age().compareTo(Duration.ofHours(1)) > 0, age.age().toString());
    }

    /** Guards against a node that has just restarted and uses a configuration that nothing has confirmed. */
    @Test
    void versionHeldIsNotConfirmed() {
        assertUnconfirmed();
        age.hold(3);
        assertUnconfirmed();
    }

    @Test
    void latestConfirmationCounts() {
        age.hold(3);
        ClockReading early = ClockReading.now(time);
        time.advance(Duration.ofSeconds(1));
        confirm(3);
        age.confirmed(3, early);
        assertEquals(Duration.ZERO, age.age());
    }

    @Test
    void olderVersionConfirmsNothing() {
        age.hold(3);
        confirm(2);
        confirm(0);
        assertUnconfirmed();
        age.hold(2);
        assertEquals(3, age.version());
    }

    @Test
    void newerVersionCountsOnceItIsHeld() {
        age.hold(3);
        confirm(3);
        time.advance(Duration.ofSeconds(2));
        confirm(5);
        assertEquals(OptionalLong.of(5), age.newerVersion());
        assertEquals(Duration.ofSeconds(2), age.age());
        age.hold(4);
        assertEquals(Duration.ofSeconds(2), age.age(), "version 5 is known, 4 is held");
        age.hold(5);
        assertEquals(Duration.ZERO, age.age());
        assertEquals(OptionalLong.empty(), age.newerVersion());
    }

    /** Guards against a peer or replica of the store that lags and confirms a version known to be outdated. */
    @Test
    void versionIsNotConfirmedWhileANewerOneIsKnown() {
        age.hold(3);
        confirm(3);
        confirm(4);
        time.advance(Duration.ofSeconds(1));
        confirm(3);
        assertEquals(Duration.ofSeconds(1), age.age());
    }
}
