package dev.lavenderline.peer;

import static dev.lavenderline.peer.TestNode.pull;
import static dev.lavenderline.peer.TestNode.until;
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
    void connectThroughTheRelay() throws IOException {
        relay = new Relay(b.mesh.port());
        a.mesh.connect(Set.of(relay.address()));
        until(() -> a.mesh.connected().contains("b") && b.mesh.connected().contains("a"));
    }

    @AfterEach
    void stop() throws IOException {
        a.close();
        b.close();
        relay.close();
    }

    /** Guards against connections that are silent for ever, in one or both directions, while new ones work. */
    @ParameterizedTest
    @CsvSource({"true,true", "true,false", "false,true"})
    void silentConnectionIsReplacedWithinThreeSeconds(boolean toTarget, boolean fromTarget) {
        long silenced = System.nanoTime();
        relay.silence(toTarget, fromTarget);
        until(() -> {
            a.mesh.send("b", pull(System.nanoTime()));
            b.mesh.send("a", pull(System.nanoTime()));
            return relay.accepted() > 1 && (!toTarget || hasNew(b, silenced)) && (!fromTarget || hasNew(a, silenced));
        });
        Duration passed = Duration.ofNanos(System.nanoTime() - silenced);
        assertTrue(passed.compareTo(Duration.ofSeconds(3)) <= 0, "replaced after " + passed);
        assertTrue(a.count("connections.silent") + b.count("connections.silent") > 0);
        until(() -> a.events.equals(List.of("+b1", "-b1", "+b1")));
        until(() -> a.mesh.connected().contains("b") && b.mesh.connected().contains("a"));
    }

    /** Returns whether a frame sent in a silenced direction arrived, which only a new connection makes possible. */
    private static boolean hasNew(TestNode node, long since) {
        return node.pulls().stream().anyMatch(sent -> sent > since);
    }
}
