package dev.lavenderline.serving.workspaces;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.serving.ManualTime;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against ages that are too small after a suspension or a correction of the wall clock. */
class ClockReadingTest {
    private final ManualTime time = new ManualTime();
    private final ClockReading reading = ClockReading.now(time);

    @Test
    void ageIsTheLargerDifference() {
        time.advance(Duration.ofSeconds(2));
        assertEquals(Duration.ofSeconds(2), reading.age(time));
        time.moveWall(Duration.ofSeconds(6));
        assertEquals(Duration.ofSeconds(8), reading.age(time));
        time.moveWall(Duration.ofHours(-1));
        assertEquals(Duration.ofSeconds(2), reading.age(time));
    }

    @Test
    void ageIsNeverNegative() {
        assertEquals(Duration.ZERO, reading.minus(Duration.ofSeconds(-3)).age(time));
    }

    @Test
    void youngerReadingIsTheOneTakenAfterASuspension() {
        time.moveWall(Duration.ofSeconds(6));
        ClockReading earlierByTheMonotonicClock = ClockReading.now(time).minus(Duration.ofSeconds(1));
        assertEquals(earlierByTheMonotonicClock, reading.younger(earlierByTheMonotonicClock, time));
        assertEquals(earlierByTheMonotonicClock, earlierByTheMonotonicClock.younger(reading, time));
    }
}
