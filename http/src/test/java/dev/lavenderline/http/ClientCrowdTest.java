package dev.lavenderline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.overload.ProcessLimits;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against callers of the second interface that together make a node hold more than it has. */
class ClientCrowdTest {
    private static final long HELD_BYTES = 4 << 20;
    private static final int CONNECTIONS = 20;
    private static final int BODY_BYTES = 1 << 20;

    private final List<Socket> crowd = new ArrayList<>();
    private TestFleet fleet;

    @BeforeEach
    void start() {
        fleet = new TestFleet()
                .processLimits(new ProcessLimits(HELD_BYTES, CONNECTIONS))
                .engine("e1", "--step-base", "1")
                .start();
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : crowd) {
            socket.close();
        }
        fleet.close();
    }

    private void connect(String part) throws IOException {
        Socket socket = new Socket("127.0.0.1", fleet.server.port());
        crowd.add(socket);
        try {
            socket.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException closedByServer) {
            // A server may refuse this client.
        }
    }

    private void assertServes() {
        assertTrue(fleet.account.heldBytes() <= HELD_BYTES, () -> "held: " + fleet.account.heldBytes());
        // An ordinary caller may be refused while the crowd has just come.
        Awaitility.await()
                .ignoreExceptionsInstanceOf(UncheckedIOException.class)
                .pollInterval(200, TimeUnit.MILLISECONDS)
                .until(() -> fleet.send(fleet.chat("a", 3, false)).statusCode() == 200);
    }

    private static String head(String path, String fields) {
        return "POST " + path + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + TestFleet.TOKEN + "\r\n" + fields;
    }

    @Test
    void bodiesWithoutTheirLastByte() throws IOException {
        String request = head("/v1/chat/completions", "Content-Length: " + BODY_BYTES + "\r\n\r\n");
        for (int i = 0; i < CONNECTIONS - 1; i++) {
            connect(request + "x".repeat(BODY_BYTES - 1));
        }
        assertServes();
    }

    @Test
    void refusalHasTheErrorBodyOfTheInterface() throws IOException {
        String request = head("/v1/chat/completions", "Content-Length: " + 3 * BODY_BYTES + "\r\n\r\n");
        connect(request + "x".repeat(2 * BODY_BYTES));
        String response = new String(crowd.get(0).getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertTrue(response.contains("\"code\":\"not_run\""), response);
    }

    @Test
    void uploadsWithoutTheirLastByte() throws IOException {
        String request = head("/v1/files?filename=a", "Content-Length: " + BODY_BYTES + "\r\n\r\n");
        for (int i = 0; i < CONNECTIONS - 1; i++) {
            connect(request + "x".repeat(BODY_BYTES - 1));
        }
        assertServes();
    }

    @Test
    void headsOfShortLines() throws IOException {
        String request = head("/v1/chat/completions", "a:\r\n".repeat(3000));
        for (int i = 0; i < CONNECTIONS - 1; i++) {
            connect(request);
        }
        assertServes();
    }

    @Test
    void moreConnectionsThanAllowed() throws IOException {
        for (int i = 0; i < 5 * CONNECTIONS; i++) {
            connect("");
        }
        assertServes();
        assertEquals(0, fleet.openRequests());
    }
}
