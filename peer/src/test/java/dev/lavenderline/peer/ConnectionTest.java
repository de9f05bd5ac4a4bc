package dev.lavenderline.peer;

import static dev.lavenderline.peer.TestNode.awaitUntil;
import static dev.lavenderline.peer.TestNode.pullFrame;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import dev.lavenderline.proto.peer.ConfigRecord;
import dev.lavenderline.proto.peer.ConfigRecords;
import dev.lavenderline.proto.peer.Frame;
import dev.lavenderline.proto.peer.Hello;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConnectionTest {
    private final List<TestNode> nodes = new ArrayList<>();

    private TestNode node(String name) {
        return node("moor", name, name + "1", 0);
    }

    private TestNode node(String cluster, String name, String incarnation, int port) {
        TestNode node = new TestNode(cluster, name, incarnation, port);
        nodes.add(node);
        return node;
    }

    @AfterEach
    void stop() {
        nodes.forEach(TestNode::close);
    }

    /** Guards against duplicate or lost frames when both nodes of a pair connect at the same time. */
    @Test
    void fourNodesUseOneConnectionPerPair() {
        List<TestNode> all = List.of(node("a"), node("b"), node("c"), node("d"));
        all.forEach(node -> node.connect(all.toArray(TestNode[]::new)));
        awaitUntil(
                () -> all.stream().allMatch(node -> node.mesh.connectedNodes().size() == 3));
        for (TestNode node : all) {
            // Duplicates are closed once both sides know of them; only then does each node acknowledge the others.
            awaitUntil(() -> node.frames.stream()
                            .filter(Frame::hasHeartbeat)
                            .filter(frame -> frame.getHeartbeat().getAcknowledged() > 0)
                            .count()
                    >= 3);
            assertEquals(3, node.mesh.broadcast(pullFrame(nodes.indexOf(node))));
        }
        for (TestNode node : all) {
            awaitUntil(() -> node.pulledOffsets().size() >= 3);
            List<Long> others = LongStream.range(0, 4)
                    .filter(i -> i != nodes.indexOf(node))
                    .boxed()
                    .toList();
            assertEquals(others, node.pulledOffsets().stream().sorted().toList());
            assertEquals(3, node.events.size(), node.events::toString);
        }
    }

    /** Guards against reordered frames, and against rejecting a frame of exactly the maximum size. */
    @Test
    void framesUpToMaximumSizeArriveInOrder() {
        TestNode a = node("a");
        TestNode b = node("b");
        a.connect(b);
        awaitUntil(() -> a.mesh.connectedNodes().contains("b"));
        for (int i = 0; i < 1_000; i++) {
            assertTrue(a.mesh.send("b", pullFrame(i)));
        }
        Frame largest = recordFrame(PeerMesh.MAX_FRAME_BYTES - 12);
        assertEquals(PeerMesh.MAX_FRAME_BYTES, largest.getSerializedSize());
        assertTrue(a.mesh.send("b", largest));
        assertThrows(
                IllegalArgumentException.class, () -> a.mesh.send("b", recordFrame(PeerMesh.MAX_FRAME_BYTES - 11)));
        awaitUntil(() -> b.frames.contains(largest));
        assertEquals(LongStream.range(0, 1_000).boxed().toList(), b.pulledOffsets());
        awaitUntil(() -> a.counter("bytes.sent") == b.counter("bytes.received"));
        assertEquals(a.counter("frames.sent"), b.counter("frames.received"));
    }

    private static Frame recordFrame(int bytes) {
        return Frame.newBuilder()
                .setConfigRecords(ConfigRecords.newBuilder()
                        .addRecords(ConfigRecord.newBuilder().setData(ByteString.copyFrom(new byte[bytes]))))
                .build();
    }

    /** Guards against a stopped peer listed as connected, and a restarted one taken for its previous incarnation. */
    @Test
    void restartedPeerIsReconnected() {
        TestNode a = node("a");
        TestNode b = node("b");
        a.connect(b);
        awaitUntil(() -> a.mesh.connectedNodes().contains("b"));
        int port = b.mesh.port();
        b.close();
        awaitUntil(() -> a.events.contains("-b1"));
        assertFalse(a.mesh.send("b", pullFrame(1)));
        assertEquals(1, a.counter("frames.rejected"));
        node("moor", "b", "b2", port);
        awaitUntil(() -> a.mesh.connectedNodes().contains("b"));
        awaitUntil(() -> a.events.equals(List.of("+b1", "-b1", "+b2")));
    }

    /** Guards against a new incarnation locked out by a half-open connection of the previous one. */
    @Test
    void newIncarnationReplacesConnectionOfPreviousOne() {
        TestNode a = node("a");
        TestNode previous = node("moor", "b", "b1", 0);
        previous.connect(a);
        awaitUntil(() -> a.mesh.connectedNodes().contains("b"));
        TestNode current = node("moor", "b", "b2", 0);
        previous.mesh.setTargetAddresses(Set.of());
        current.connect(a);
        awaitUntil(() -> a.events.equals(List.of("+b1", "-b1", "+b2")));
        awaitUntil(() -> previous.events.equals(List.of("+a1", "-a1")));
        assertTrue(a.mesh.send("b", pullFrame(5)));
        awaitUntil(() -> current.pulledOffsets().equals(List.of(5L)));
    }

    /** Guards against connections between nodes of two clusters on the same network. */
    @Test
    void nodeOfAnotherClusterIsRefused() {
        TestNode a = node("a");
        TestNode foreign = node("vale", "b", "b1", 0);
        foreign.connect(a);
        awaitUntil(() -> a.counter("connections.refused") > 0 || foreign.counter("connections.refused") > 0);
        TestNode c = node("c");
        a.connect(c, foreign);
        awaitUntil(() -> a.mesh.connectedNodes().equals(Set.of("c")));
        awaitUntil(() -> a.counter("connections.refused") + foreign.counter("connections.refused") > 1);
        awaitUntil(() -> a.events.equals(List.of("+c1")));
        assertEquals(List.of(), foreign.events);
    }

    /** Guards against a mesh that starts without its port or with incomplete settings, or takes an invalid address. */
    @Test
    void portInUseAndInvalidSettingsAreRejected() {
        TestNode a = node("a");
        assertThrows(UncheckedIOException.class, () -> node("moor", "b", "b1", a.mesh.port()));
        assertThrows(
                IllegalArgumentException.class,
                () -> PeerMesh.builder()
                        .cluster("moor")
                        .self(Hello.newBuilder().setNode("x").build())
                        .executor(Runnable::run)
                        .start());
        assertThrows(IllegalArgumentException.class, () -> a.mesh.setTargetAddresses(Set.of("no-port")));
    }
}
