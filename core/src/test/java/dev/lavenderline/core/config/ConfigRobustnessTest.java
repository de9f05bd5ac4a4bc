package dev.lavenderline.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

/** Guards against malformed input that crashes the parser or gives a fault without a valid position. */
class ConfigRobustnessTest {
    private static final String[] FRAGMENTS = {
        "{",
        "}",
        "[",
        "]",
        ":",
        ": ",
        "\n",
        "  ",
        "- ",
        "null",
        "&a ",
        "*a",
        "<<",
        "!!int ",
        "'",
        "\"",
        "|",
        "#",
        "\t",
        "1e999",
        "0x1F",
        ".nan",
        "%",
        "@",
        "---\n",
        "? ",
        "models",
        "adapters",
        "2001-01-01",
        "\u0000",
        "\u2028",
        "é"
    };

    @Property(tries = 500)
    void malformedFilesGiveFaultsOrAConfiguration(
            @ForAll @Size(min = 1, max = 4) List<@IntRange(max = 31) Integer> fragments,
            @ForAll @Size(min = 4, max = 4) List<@IntRange(max = 5_000) Integer> offsets) {
        StringBuilder text = new StringBuilder(ConfigFiles.BASE);
        for (int i = 0; i < fragments.size(); i++) {
            text.insert(offsets.get(i) % text.length(), FRAGMENTS[fragments.get(i)]);
        }

        check(text.toString().getBytes(StandardCharsets.UTF_8));
    }

    @Property(tries = 300)
    void anyTextGivesFaultsOrAConfiguration(@ForAll @StringLength(max = 60) String text) {
        check(text.getBytes(StandardCharsets.UTF_8));
    }

    private static void check(byte[] content) {
        TreeMap<String, byte[]> files = new TreeMap<>();
        files.put("a.yaml", content);

        Either<List<ConfigFault>, FleetConfig> first = ConfigParser.parse(files);

        assertEquals(first, ConfigParser.parse(files), "parsing must be deterministic");
        if (first.isLeft()) {
            long lines = new String(content, StandardCharsets.UTF_8)
                            .chars()
                            .filter(c -> c == '\n')
                            .count()
                    + 2;
            assertTrue(first.getLeft().stream()
                    .allMatch(fault -> fault.file().equals("a.yaml")
                            && fault.line() >= 1
                            && fault.line() <= lines
                            && !fault.message().isEmpty()));
        }
    }
}
