package dev.lavenderline.peer;

import static dev.lavenderline.peer.TestNode.awaitUntil;
import static dev.lavenderline.peer.TestNode.pullFrame;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.CodedOutputStream;
import dev.lavenderline.proto.peer.Frame;
import dev.lavenderline.proto.peer.Hello;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class MalformedFrameTest {
    private final TestNode a = new TestNode("a");

    @AfterEach
    void stop() {
        a.close();
    }

    private static byte[] delimited(Frame... frames) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (Frame frame : frames) {
            frame.writeDelimitedTo(out);
        }
        return out.toByteArray();
    }

    private static Frame hello(Consumer<Hello.Builder> change) {
        Hello.Builder hello = Hello.newBuilder()
                .setVersion(PeerMesh.PROTOCOL_VERSION)
                .setCluster("moor")
                .setNode("raw")
                .setIncarnation("raw1");
        change.accept(hello);
        return Frame.newBuilder().setHello(hello).build();
    }

    private static byte[] lengthPrefix(int bytes) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        CodedOutputStream coded = CodedOutputStream.newInstance(out);
        coded.writeUInt32NoTag(bytes);
        coded.flush();
        return out.toByteArray();
    }

    /** Writes the parts to a new connection and reads until the mesh closes it. */
    private void sendUntilClosed(byte[]... parts) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", a.mesh.port())) {
            socket.setSoTimeout((int) TestNode.TIMEOUT.toMillis());
            for (byte[] part : parts) {
                socket.getOutputStream().write(part);
            }
            readToEnd(socket.getInputStream());
        }
    }

    private static void readToEnd(InputStream in) throws IOException {
        byte[] buffer = new byte[1024];
        try {
            while (in.read(buffer) >= 0) {
                continue;
            }
        } catch (SocketException e) {
            // The mesh may also close the connection with a reset.
        }
    }

    /** Guards against malformed input from one peer that crashes the node or closes its other connections. */
    @Test
    void malformedAndOversizedFramesCloseOnlyTheirConnection() throws IOException {
        try (TestNode b = new TestNode("b")) {
            a.connect(b);
            awaitUntil(() -> a.mesh.connectedNodes().contains("b"));
            byte[] hello = delimited(hello(unchanged -> {}));
            List<byte[]> malformed = List.of(
                    new byte[] {0},
                    new byte[] {3, (byte) 0xff, (byte) 0xff, (byte) 0xff},
                    lengthPrefix(PeerMesh.MAX_FRAME_BYTES + 1),
                    lengthPrefix(-1));
            for (byte[] bytes : malformed) {
                sendUntilClosed(hello, bytes);
                sendUntilClosed(bytes);
            }
            assertEquals(2 * malformed.size(), a.counter("connections.malformed"));
            assertEquals(0, a.counter("connections.silent"));
            a.frames.clear();
            b.mesh.send("a", pullFrame(7));
            awaitUntil(() -> a.pulledOffsets().equals(List.of(7L)));
            assertEquals(List.of("+a1"), b.events);
        }
    }

    /** Guards against a connection that stays open forever because its last frame is never completed. */
    @Test
    void connectionWithTruncatedFrameIsClosedAsSilent() throws IOException {
        byte[] complete = delimited(hello(unchanged -> {}));
        sendUntilClosed(Arrays.copyOf(complete, complete.length - 1));
        assertEquals(1, a.counter("connections.silent"));
        assertEquals(List.of(), a.events);
    }

    /** Guards against frames that are lost or misread when TCP splits them at arbitrary bytes. */
    @Test
    void framesAreReassembledFromSingleBytes() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", a.mesh.port())) {
            socket.setTcpNoDelay(true);
            for (byte next : delimited(hello(unchanged -> {}), pullFrame(300), pullFrame(70_000))) {
                socket.getOutputStream().write(next);
                socket.getOutputStream().flush();
            }
            awaitUntil(() -> a.pulledOffsets().equals(List.of(300L, 70_000L)));
        }
        awaitUntil(() -> a.events.equals(List.of("+raw1", "-raw1")));
    }

    /** Guards against a peer accepted without a valid Hello, also if a valid one follows the invalid one. */
    @Test
    void invalidHelloIsRefused() throws IOException {
        Frame valid = hello(unchanged -> {});
        List<Frame[]> invalid = List.of(
                new Frame[] {pullFrame(1), valid, pullFrame(2)},
                new Frame[] {hello(other -> other.setVersion(2)), valid},
                new Frame[] {hello(other -> other.setCluster("vale")), valid, pullFrame(3)},
                new Frame[] {hello(other -> other.setNode("")), valid},
                new Frame[] {hello(other -> other.setIncarnation("")), valid},
                new Frame[] {hello(other -> other.setNode("a")), valid});
        for (Frame[] frames : invalid) {
            sendUntilClosed(delimited(frames));
        }
        assertEquals(invalid.size(), a.counter("connections.refused"));
        assertEquals(List.of(), a.events);
        assertEquals(List.of(), a.pulledOffsets());
        sendUntilClosed(delimited(valid, valid));
        awaitUntil(() -> a.events.equals(List.of("+raw1", "-raw1")));
        assertEquals(invalid.size() + 1, a.counter("connections.refused"));
    }

    /** Guards against unbounded buffering of frames for a peer that does not read. */
    @Test
    void framesAboveHighWaterMarkAreRejected() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", a.mesh.port())) {
            socket.getOutputStream().write(delimited(hello(unchanged -> {})));
            awaitUntil(() -> a.mesh.connectedNodes().contains("raw"));
            Frame large = hello(big -> big.setRegion("x".repeat(100_000)));
            // Loopback socket buffers hold a few MiB; 200 MB exceed them and the high-water mark on any system.
            int sent = 0;
            while (sent < 2_000 && a.mesh.send("raw", large)) {
                sent++;
            }
            assertTrue(sent < 2_000, "all 2,000 frames were accepted although the peer does not read");
            assertEquals(1, a.counter("frames.rejected"));
        }
        awaitUntil(() -> a.mesh.connectedNodes().isEmpty());
    }
}
