package dev.lavenderline.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Guards against a node that starts despite invalid settings, or that reports only one error at a time. */
class SettingsErrorsTest {
    @Test
    void reportsAllErrorsAtOnceWithExitCodeTwo() {
        String[] args = {
            "--node",
            "a b",
            "--region",
            "",
            "--callers-address",
            "localhost:8080",
            "--operators-address=127.0.0.1:65536",
            "--peers-address",
            "0.0.0.0:0",
            "--log-url",
            "https://log.example",
            "--append-rate",
            "0",
            "--work-linger",
            "50",
            "--log-retention",
            "9000h",
            "--policy",
            "random",
            "--max-request-bytes",
            "1B",
            "--retry-ratio",
            "NaN",
            "--drain-timeout",
            "60s",
            "--drain-timeout",
            "70s",
            "--seed",
            "1.5",
            "--log-level",
            "INFO",
            "--polcy",
            "round-robin",
            "extra",
            "--stall-limit"
        };
        Map<String, String> environment =
                Map.of("LAVENDERLINE_HOSTS_URL", "ftp://hosts", "LAVENDERLINE_FIRST_TOKEN_LIMIT", "1ms");

        SettingsParser.Exit exit =
                SettingsParser.parse(args, environment).swap().get();

        assertEquals(2, exit.status());
        Approvals.verify(exit.text());
    }

    @Test
    void negativeSeedIsAValueAndNotAFlag() {
        Settings settings =
                SettingsParser.parse(Args.with("--seed", "-5"), Map.of()).get();

        assertEquals(-5, settings.seed().getAsLong());
    }

    @Test
    void wildcardPeersAddressNeedsAnAdvertisedOne() {
        String[] wildcard = Args.with("--peers-address", "0.0.0.0:8082");
        String[] complete = Args.with("--peers-address", "0.0.0.0:8082", "--advertise-peers", "10.0.0.7:8082");

        List<SettingsParser.SettingError> errors =
                SettingsParser.parse(wildcard, Map.of()).swap().get().errors();

        assertEquals(
                List.of("--advertise-peers"),
                errors.stream().map(SettingsParser.SettingError::flag).toList());
        assertEquals(
                "10.0.0.7:8082",
                SettingsParser.parse(complete, Map.of()).get().addresses().advertisePeers());
    }

    @Test
    void abbreviatedFlagIsUnknown() {
        assertTrue(SettingsParser.parse(Args.with("--append", "10"), Map.of()).isLeft());
    }
}
