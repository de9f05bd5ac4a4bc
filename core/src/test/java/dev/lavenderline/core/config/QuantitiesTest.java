package dev.lavenderline.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against parsing one unit as another, and against assuming a unit where none is given. */
class QuantitiesTest {
    @Test
    void unitsScaleTheValue() {
        assertEquals(Optional.of(Duration.ofMillis(520)), Quantities.parseDuration("520ms"));
        assertEquals(Optional.of(Duration.ofSeconds(5)), Quantities.parseDuration("5s"));
        assertEquals(Optional.of(Duration.ofMinutes(2)), Quantities.parseDuration("2m"));
        assertEquals(Optional.of(Duration.ofHours(24)), Quantities.parseDuration("24h"));
        assertEquals(Optional.of(14_000_000_000L), Quantities.parseBytes("14GB"));
        assertEquals(Optional.of(8_388_608L), Quantities.parseBytes("8MiB"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "5", "5 s", "-5s", "1.5s", "5S", "5MS", "s", "5d", "999999999999999999h"})
    void rejectsInvalidDurations(String text) {
        assertEquals(Optional.empty(), Quantities.parseDuration(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "14", "14 GB", "14gb", "14g", "1.5GB", "-1B", "999999999999999999TB"})
    void rejectsInvalidByteSizes(String text) {
        assertEquals(Optional.empty(), Quantities.parseBytes(text));
    }

    @Property(tries = 300)
    void formattedDurationsParseAsTheSameValue(@ForAll @LongRange(min = 0, max = 100_000_000_000L) long millis) {
        Duration duration = Duration.ofMillis(millis);

        assertEquals(Optional.of(duration), Quantities.parseDuration(Quantities.formatDuration(duration)));
    }

    @Property(tries = 300)
    void formattedByteSizesParseAsTheSameValue(@ForAll @LongRange(min = 0, max = 100_000_000_000_000L) long bytes) {
        assertEquals(Optional.of(bytes), Quantities.parseBytes(Quantities.formatBytes(bytes)));
    }
}
