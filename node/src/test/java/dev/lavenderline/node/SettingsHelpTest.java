package dev.lavenderline.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Guards against flags that are missing in the help text, and against errors in other flags that suppress it. */
class SettingsHelpTest {
    @Test
    void helpListsEachFlagWithVariableUnitDefaultAndBounds() {
        SettingsParser.Exit exit = exit("--help", "--append-rate", "wrong");

        assertEquals(0, exit.status());
        Approvals.verify(exit.text());
    }

    @Test
    void versionIsOneLine() {
        SettingsParser.Exit exit = exit("--version");

        assertEquals(0, exit.status());
        assertTrue(exit.text().matches("lavenderline \\S.*\n"), exit.text());
    }

    @Test
    void everyDefaultIsWithinItsBounds() {
        for (Setting<?> setting : SettingsTable.ALL) {
            if (!setting.defaultText().isEmpty()) {
                assertTrue(setting.parser().apply(setting.defaultText()).isPresent(), setting.flag());
            }
        }
    }

    private static SettingsParser.Exit exit(String... args) {
        return SettingsParser.parse(args, Map.of()).swap().get();
    }
}
