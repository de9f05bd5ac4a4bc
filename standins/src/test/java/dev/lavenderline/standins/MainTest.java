package dev.lavenderline.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against commands whose ready line is missing, printed too early, or not alone on standard output. */
class MainTest {
    @ParameterizedTest
    @ValueSource(strings = {"log", "hosts", "weights"})
    void commandPrintsPortOnceItAcceptsConnections(String command) throws Exception {
        PrintStream original = System.out;
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        try {
            Main.main(new String[] {command, "--port", "0"});
            Awaitility.await()
                    .atMost(Duration.ofSeconds(10))
                    .until(() -> output.toString(StandardCharsets.UTF_8).contains("\n"));
        } finally {
            System.setOut(original);
        }
        List<String> lines = output.toString(StandardCharsets.UTF_8).lines().toList();
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).matches("ready [0-9]+"), lines.get(0));
        try (Socket socket =
                new Socket("127.0.0.1", Integer.parseInt(lines.get(0).substring("ready ".length())))) {
            assertTrue(socket.isConnected());
        }
    }

    @Test
    void malformedArgumentsNameTheOption() {
        assertEquals(
                "--port must be a whole number, not x",
                assertThrows(
                                IllegalArgumentException.class,
                                () -> Arguments.parse(new String[] {"--port", "x"}, "port")
                                        .intValue("port", 0))
                        .getMessage());
        assertThrows(IllegalArgumentException.class, () -> Arguments.parse(new String[] {"--prot", "1"}, "port"));
        assertThrows(IllegalArgumentException.class, () -> Arguments.parse(new String[] {"stray"}, "port"));
    }
}
