package dev.lavenderline.peer;

import static dev.lavenderline.peer.TestNode.pull;
import static dev.lavenderline.peer.TestNode.until;
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

    /** Guards against frames that arrive twice or not at all when both sides dial at the same time. */
    @Test
    void fourNodesUseOneConnectionForEachPair() {
        List<TestNode> all = List.of(node("a"), node("b"), node("c"), node("d"));
        all.forEach(node -> node.connect(all.toArray(TestNode[]::new)));
        until(() -> all.stream().allMatch(node -> node.mesh.connected().size() == 3));
        for (TestNode node : all) {
            // A duplicate is closed as soon as both sides know of it; then each node acknowledges the others.
            until(() -> node.frames.stream()
                            .filter(Frame::hasHeartbeat)
                            .filter(frame -> frame.getHeartbeat().getAcknowledged() > 0)
                            .count()
                    >= 3);
            assertEquals(3, node.mesh.broadcast(pull(nodes.indexOf(node))));
        }
        for (TestNode node : all) {
            until(() -> node.pulls().size() >= 3);
            List<Long> others = LongStream.range(0, 4)
                    .filter(i -> i != nodes.indexOf(node))
                    .boxed()
                    .toList();
            assertEquals(others, node.pulls().stream().sorted().toList());
            assertEquals(3, node.events.size(), node.events::toString);
        }
    }

    /** Guards against frames out of order, and against a frame at the limit that is refused. */
    @Test
    void framesArriveInOrderUpToTheLimit() {
        TestNode a = node("a");
        TestNode b = node("b");
        a.connect(b);
        until(() -> a.mesh.connected().contains("b"));
        for (int i = 0; i < 1_000; i++) {
            assertTrue(a.mesh.send("b", pull(i)));
        }
        Frame longest = recordOf(PeerMesh.MAX_FRAME_BYTES - 12);
        assertEquals(PeerMesh.MAX_FRAME_BYTES, longest.getSerializedSize());
        assertTrue(a.mesh.send("b", longest));
        assertThrows(IllegalArgumentException.class, () -> a.mesh.send("b", recordOf(PeerMesh.MAX_FRAME_BYTES - 11)));
        until(() -> b.frames.contains(longest));
        assertEquals(LongStream.range(0, 1_000).boxed().toList(), b.pulls());
        until(() -> a.count("bytes.sent") == b.count("bytes.received"));
        assertEquals(a.count("frames.sent"), b.count("frames.received"));
    }

    private static Frame recordOf(int bytes) {
        return Frame.newBuilder()
                .setConfigRecords(ConfigRecords.newBuilder()
                        .addRecords(ConfigRecord.newBuilder().setData(ByteString.copyFrom(new byte[bytes]))))
                .build();
    }

    /** Guards against a stopped peer that still counts as connected, and against a run that is taken for the former. */
    @Test
    void restartedPeerIsConnectedAgain() {
        TestNode a = node("a");
        TestNode b = node("b");
        a.connect(b);
        until(() -> a.mesh.connected().contains("b"));
        int port = b.mesh.port();
        b.close();
        until(() -> a.events.contains("-b1"));
        assertFalse(a.mesh.send("b", pull(1)));
        assertEquals(1, a.count("frames.rejected"));
        node("moor", "b", "b2", port);
        until(() -> a.mesh.connected().contains("b"));
        until(() -> a.events.equals(List.of("+b1", "-b1", "+b2")));
    }

    /** Guards against a new run of a peer that is kept out by the half-open connection of the former one. */
    @Test
    void newRunReplacesTheConnectionOfTheFormerOne() {
        TestNode a = node("a");
        TestNode former = node("moor", "b", "b1", 0);
        former.connect(a);
        until(() -> a.mesh.connected().contains("b"));
        TestNode next = node("moor", "b", "b2", 0);
        former.mesh.connect(Set.of());
        next.connect(a);
        until(() -> a.events.equals(List.of("+b1", "-b1", "+b2")));
        until(() -> former.events.equals(List.of("+a1", "-a1")));
        assertTrue(a.mesh.send("b", pull(5)));
        until(() -> next.pulls().equals(List.of(5L)));
    }

    /** Guards against two clusters on one network that mix their nodes. */
    @Test
    void nodeOfAnotherClusterIsRefused() {
        TestNode a = node("a");
        TestNode stranger = node("vale", "b", "b1", 0);
        stranger.connect(a);
        until(() -> a.count("connections.refused") > 0 || stranger.count("connections.refused") > 0);
        TestNode c = node("c");
        a.connect(c, stranger);
        until(() -> a.mesh.connected().equals(Set.of("c")));
        until(() -> a.count("connections.refused") + stranger.count("connections.refused") > 1);
        until(() -> a.events.equals(List.of("+c1")));
        assertEquals(List.of(), stranger.events);
    }

    /** Guards against a mesh that starts without a port or without a name. */
    @Test
    void startFailsWithAClearError() {
        TestNode a = node("a");
        assertThrows(UncheckedIOException.class, () -> node("moor", "b", "b1", a.mesh.port()));
        assertThrows(
                IllegalArgumentException.class,
                () -> PeerMesh.builder()
                        .cluster("moor")
                        .self(Hello.newBuilder().setNode("x").build())
                        .executor(Runnable::run)
                        .start());
        assertThrows(IllegalArgumentException.class, () -> a.mesh.connect(Set.of("no-port")));
    }
}
