package dev.lavenderline.serving.workspaces;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against windows that admit too much in 5 s, or less than a token bucket. */
class AdmissionWindowTest {
    private static final Quota QUOTA = new Quota(40, 20);
    private static final long SPAN_NANOS = AdmissionWindow.SPAN.toNanos();

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    /** Replays quiet times and bursts, of which the first ones meet a full quota at any time within a period. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void quietTimesAndBursts(long seed) {
        Random random = new Random(seed);
        AdmissionWindow window = new AdmissionWindow(0);
        Deque<Long> recent = new ArrayDeque<>();
        long now = 0;
        int most = 0;
        double level = QUOTA.burst();
        for (int i = 0; i < 50_000; i++) {
            long step = random.nextInt(400) == 0 ? millis(random.nextInt(4000)) : millis(random.nextInt(12));
            now += step;
            level = Math.min(QUOTA.burst(), level + QUOTA.requestsPerSecond() * step / 1e9);
            boolean admitted = window.requestsLeft(now, QUOTA) >= 1;
            assertTrue(admitted || level < 1, "refused at " + now + " with " + level + " left");
            if (!admitted) {
                continue;
            }
            level -= 1;
            window.add(now, now, 1);
            recent.add(now);
            while (now - recent.peek() >= SPAN_NANOS) {
                recent.remove();
            }
            most = Math.max(most, recent.size());
        }
        double allowed = QUOTA.burst()
                + QUOTA.requestsPerSecond()
                        * (SPAN_NANOS + AdmissionWindow.PERIOD.toNanos() + AdmissionWindow.DELAY_TOLERANCE.toNanos())
                        / 1e9;
        assertTrue(most <= allowed, most + " of " + allowed);
    }

    /** Guards against debts that are forgotten, and against retry delays after which the quota has no room. */
    @Test
    void debtIsPaidBeforeFurtherRequests() {
        AdmissionWindow window = new AdmissionWindow(0);
        window.add(0, 0, 60);
        assertTrue(window.requestsLeft(0, QUOTA) < -38);
        Duration delay = window.timeUntilOneLeft(0, QUOTA);
        assertTrue(window.requestsLeft(delay.toNanos() - millis(20), QUOTA) < 1);
        assertTrue(window.requestsLeft(delay.toNanos() + millis(1), QUOTA) >= 1);
    }

    /** Guards against reports that count twice, or not at all, because they come late. */
    @Test
    void lateReportsCountAsOfTheirTime() {
        AdmissionWindow window = new AdmissionWindow(0);
        window.add(millis(1000), millis(400), 2);
        assertEquals(List.of(0, 0, 0, 2), window.periods(millis(1000)));
        window.remove(millis(1000), millis(400), 1);
        window.add(millis(6500), millis(400), 5);
        assertEquals(0, window.total(millis(6500)));
    }

    /** Guards against clocks of {@link System#nanoTime}, which may be negative. */
    @Test
    void negativeTimes() {
        long start = -millis(3000) - 7;
        AdmissionWindow window = new AdmissionWindow(start);
        window.add(start, start, 3);
        assertEquals(List.of(3), window.periods(start));
        assertEquals(3, window.total(millis(1900)));
        assertEquals(0, window.total(millis(2500)));
    }
}
