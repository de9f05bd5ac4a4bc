package dev.lavenderline.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Guards against a variable that overrides a flag, and against defaults other than the documented ones. */
class SettingsPrecedenceTest {
    @Test
    void flagOverridesVariableAndVariableOverridesDefault() {
        Settings settings = SettingsParser.parse(
                        Args.with("--append-rate", "40"),
                        Map.of("LAVENDERLINE_APPEND_RATE", "50", "LAVENDERLINE_WORK_LINGER", "7ms"))
                .get();

        assertEquals(40, settings.platform().appendRate());
        assertEquals(Duration.ofMillis(7), settings.platform().workLinger());
        assertEquals(Duration.ofMillis(2), settings.platform().callsLinger());
    }

    @Test
    void invalidVariableIsIgnoredIfTheFlagIsGiven() {
        Settings settings = SettingsParser.parse(
                        Args.with("--policy=round-robin"), Map.of("LAVENDERLINE_POLICY", "wrong"))
                .get();

        assertEquals(Settings.Policy.ROUND_ROBIN, settings.traffic().policy());
    }

    @Test
    void emptyVariableCountsAsMissing() {
        Settings settings = SettingsParser.parse(Args.with(), Map.of("LAVENDERLINE_WEIGHTS_URL", ""))
                .get();

        assertEquals(Optional.empty(), settings.platform().weights());
    }

    @Test
    void defaultsOfAllSettings() {
        Approvals.verify(SettingsParser.parse(Args.with(), Map.of())
                .get()
                .toString()
                .replaceAll("(, |\\[)(?=[a-zA-Z]+=[A-Z][a-z]+\\[)", "$1\n"));
    }
}
