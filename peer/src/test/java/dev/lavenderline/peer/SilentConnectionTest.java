package dev.lavenderline.peer;

import static dev.lavenderline.peer.TestNode.awaitUntil;
import static dev.lavenderline.peer.TestNode.pullFrame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SilentConnectionTest {
    private final TestNode a = new TestNode("a");
    private final TestNode b = new TestNode("b");
    private Relay relay;

    @BeforeEach
    void connectThroughRelay() throws IOException {
        relay = new Relay(b.mesh.port());
        a.mesh.setTargetAddresses(Set.of(relay.address()));
        awaitUntil(() ->
                a.mesh.connectedNodes().contains("b") && b.mesh.connectedNodes().contains("a"));
    }

    @AfterEach
    void stop() throws IOException {
        a.close();
        b.close();
        relay.close();
    }

    /** Guards against a connection kept although it drops all bytes in one or both directions while new ones work. */
    @ParameterizedTest
    @CsvSource({"true,true", "true,false", "false,true"})
    void silentConnectionIsReplacedWithinThreeSeconds(boolean toTarget, boolean fromTarget) {
        long silencedNanos = System.nanoTime();
        relay.silence(toTarget, fromTarget);
        awaitUntil(() -> {
            a.mesh.send("b", pullFrame(System.nanoTime()));
            b.mesh.send("a", pullFrame(System.nanoTime()));
            return relay.acceptedCount() > 1
                    && (!toTarget || hasFrameSentAfter(b, silencedNanos))
                    && (!fromTarget || hasFrameSentAfter(a, silencedNanos));
        });
        Duration elapsed = Duration.ofNanos(System.nanoTime() - silencedNanos);
        assertTrue(elapsed.compareTo(Duration.ofSeconds(3)) <= 0, "replaced after " + elapsed);
        assertTrue(a.counter("connections.silent") + b.counter("connections.silent") > 0);
        awaitUntil(() -> a.events.equals(List.of("+b1", "-b1", "+b1")));
        awaitUntil(() ->
                a.mesh.connectedNodes().contains("b") && b.mesh.connectedNodes().contains("a"));
    }

    /** Returns whether a frame sent after the given time arrived; silenced directions need a new connection for it. */
    private static boolean hasFrameSentAfter(TestNode node, long nanos) {
        return node.pulledOffsets().stream().anyMatch(sent -> sent > nanos);
    }
}
