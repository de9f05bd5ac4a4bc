package dev.lavenderline.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/**
 * Guards against a command or flag that docs/OPERATIONS.md does not describe.
 *
 * <p>{@code mvn test -pl ctl -am -Dtest=DocsTest -Dsurefire.failIfNoSpecifiedTests=false -Ddocs.update=true} writes the
 * generated part of the page.
 */
class DocsTest {
    private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");
    private static final String BEGIN = "<!-- generated: lavenderctl -->\n";
    private static final String END = "<!-- end of generated part -->\n";

    @Test
    void operationsPageHasTheHelpText() throws IOException {
        String expected = "```\n" + Run.of("--help").out() + "```\n";
        String text = Files.readString(PAGE);
        int from = text.indexOf(BEGIN) + BEGIN.length();
        int to = text.indexOf(END, from);
        assertTrue(from >= BEGIN.length() && to >= from, PAGE + " lacks the markers of the generated part");
        if (Boolean.getBoolean("docs.update")) {
            Files.writeString(PAGE, text.substring(0, from) + expected + text.substring(to));
            return;
        }
        assertEquals(expected, text.substring(from, to), PAGE + " differs from the code, see DocsTest");
    }
}
