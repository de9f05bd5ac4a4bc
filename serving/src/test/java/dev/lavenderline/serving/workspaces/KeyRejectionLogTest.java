package dev.lavenderline.serving.workspaces;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.serving.ManualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a log full of rejected keys, and against rejections that no line accounts for. */
class KeyRejectionLogTest {
    private final ManualTime time = new ManualTime();
    private final List<String> lines = new ArrayList<>();
    private final KeyRejectionLog log =
            new KeyRejectionLog(time, (event, fields) -> lines.add(event + " " + Arrays.asList(fields)));

    private void reject(int count) {
        for (int i = 0; i < count; i++) {
            log.rejected("r" + i, "route", CallerCheck.Refusal.UNKNOWN_KEY);
        }
    }

    @Test
    void oneLinePerSecondCountsTheOthers() {
        reject(1000);
        assertEquals(List.of("KEY_REJECTED [request, r0, route, route, cause, UNKNOWN_KEY, further, 0]"), lines);
        time.advance(KeyRejectionLog.PERIOD);
        assertEquals("KEY_REJECTED [further, 999]", lines.get(1));
        reject(5);
        time.advance(KeyRejectionLog.PERIOD);
        assertEquals("KEY_REJECTED [further, 5]", lines.get(2));
        time.advance(KeyRejectionLog.PERIOD);
        reject(1);
        assertEquals(4, lines.size());
    }

    @Test
    void outdatedConfigurationHasABeginAndAnEnd() {
        log.recheck(() -> false);
        log.outdated(Duration.ofSeconds(3));
        log.recheck(() -> true);
        log.outdated(Duration.ofSeconds(4));
        log.recheck(() -> false);
        log.recheck(() -> false);
        assertEquals(List.of("KEYS_NOT_CHECKED [configAgeMs, PT3S]", "KEYS_CHECKED_AGAIN [refused, 2]"), lines);
    }
}
