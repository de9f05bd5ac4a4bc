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
        assertEquals(Optional.of(Duration.ofMillis(520)), Quantities.duration("520ms"));
        assertEquals(Optional.of(Duration.ofSeconds(5)), Quantities.duration("5s"));
        assertEquals(Optional.of(Duration.ofMinutes(2)), Quantities.duration("2m"));
        assertEquals(Optional.of(Duration.ofHours(24)), Quantities.duration("24h"));
        assertEquals(Optional.of(14_000_000_000L), Quantities.bytes("14GB"));
        assertEquals(Optional.of(8_388_608L), Quantities.bytes("8MiB"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "5", "5 s", "-5s", "1.5s", "5S", "5MS", "s", "5d", "999999999999999999h"})
    void rejectsInvalidDurations(String text) {
        assertEquals(Optional.empty(), Quantities.duration(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "14", "14 GB", "14gb", "14g", "1.5GB", "-1B", "999999999999999999TB"})
    void rejectsInvalidByteSizes(String text) {
        assertEquals(Optional.empty(), Quantities.bytes(text));
    }

    @Property(tries = 300)
    void formattedDurationsParseAsTheSameValue(@ForAll @LongRange(min = 0, max = 100_000_000_000L) long millis) {
        Duration duration = Duration.ofMillis(millis);

        assertEquals(Optional.of(duration), Quantities.duration(Quantities.format(duration)));
    }

    @Property(tries = 300)
    void formattedByteSizesParseAsTheSameValue(@ForAll @LongRange(min = 0, max = 100_000_000_000_000L) long bytes) {
        assertEquals(Optional.of(bytes), Quantities.bytes(Quantities.formatBytes(bytes)));
    }
}
