package dev.lavenderline.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Guards against a node that starts with a setting other than the given one, or that reports one fault at a time. */
class SettingsFaultsTest {
    @Test
    void allFaultsAtOnceWithExitCodeTwo() {
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

        List<SettingsParser.Fault> faults =
                SettingsParser.parse(wildcard, Map.of()).swap().get().faults();

        assertEquals(
                List.of("--advertise-peers"),
                faults.stream().map(SettingsParser.Fault::flag).toList());
        assertEquals(
                "10.0.0.7:8082",
                SettingsParser.parse(complete, Map.of()).get().addresses().advertisePeers());
    }

    @Test
    void abbreviatedFlagIsUnknown() {
        assertTrue(SettingsParser.parse(Args.with("--append", "10"), Map.of()).isLeft());
    }
}
