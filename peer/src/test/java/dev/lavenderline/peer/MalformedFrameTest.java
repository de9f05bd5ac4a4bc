package dev.lavenderline.peer;

import static dev.lavenderline.peer.TestNode.pull;
import static dev.lavenderline.peer.TestNode.until;
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

    private static byte[] length(int bytes) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        CodedOutputStream coded = CodedOutputStream.newInstance(out);
        coded.writeUInt32NoTag(bytes);
        coded.flush();
        return out.toByteArray();
    }

    /** Writes bytes on a new connection and reads until the mesh closes it. */
    private void sendUntilClosed(byte[]... parts) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", a.mesh.port())) {
            socket.setSoTimeout((int) TestNode.LIMIT.toMillis());
            for (byte[] part : parts) {
                socket.getOutputStream().write(part);
            }
            drain(socket.getInputStream());
        }
    }

    private static void drain(InputStream in) throws IOException {
        byte[] buffer = new byte[1024];
        try {
            while (in.read(buffer) >= 0) {
                continue;
            }
        } catch (SocketException e) {
            // A reset closes the connection as well.
        }
    }

    /** Guards against a node that crashes or loses its other peers because of bytes of one of them. */
    @Test
    void malformedAndLongFramesCloseOnlyTheirConnection() throws IOException {
        try (TestNode b = new TestNode("b")) {
            a.connect(b);
            until(() -> a.mesh.connected().contains("b"));
            byte[] hello = delimited(hello(plain -> {}));
            List<byte[]> bad = List.of(
                    new byte[] {0},
                    new byte[] {3, (byte) 0xff, (byte) 0xff, (byte) 0xff},
                    length(PeerMesh.MAX_FRAME_BYTES + 1),
                    length(-1));
            for (byte[] bytes : bad) {
                sendUntilClosed(hello, bytes);
                sendUntilClosed(bytes);
            }
            assertEquals(2 * bad.size(), a.count("connections.malformed"));
            assertEquals(0, a.count("connections.silent"));
            a.frames.clear();
            b.mesh.send("a", pull(7));
            until(() -> a.pulls().equals(List.of(7L)));
            assertEquals(List.of("+a1"), b.events);
        }
    }

    /** Guards against a connection that stays for ever because its last frame never ends. */
    @Test
    void truncatedFrameEndsAsSilence() throws IOException {
        byte[] whole = delimited(hello(plain -> {}));
        sendUntilClosed(Arrays.copyOf(whole, whole.length - 1));
        assertEquals(1, a.count("connections.silent"));
        assertEquals(List.of(), a.events);
    }

    /** Guards against frames that are lost or misread when TCP divides them at any byte. */
    @Test
    void framesMayArriveInSingleBytes() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", a.mesh.port())) {
            socket.setTcpNoDelay(true);
            for (byte next : delimited(hello(plain -> {}), pull(300), pull(70_000))) {
                socket.getOutputStream().write(next);
                socket.getOutputStream().flush();
            }
            until(() -> a.pulls().equals(List.of(300L, 70_000L)));
        }
        until(() -> a.events.equals(List.of("+raw1", "-raw1")));
    }

    /** Guards against a peer that takes part without a valid introduction, also by a second attempt. */
    @Test
    void invalidIntroductionIsRefused() throws IOException {
        Frame valid = hello(plain -> {});
        List<Frame[]> invalid = List.of(
                new Frame[] {pull(1), valid, pull(2)},
                new Frame[] {hello(other -> other.setVersion(2)), valid},
                new Frame[] {hello(other -> other.setCluster("vale")), valid, pull(3)},
                new Frame[] {hello(other -> other.setNode("")), valid},
                new Frame[] {hello(other -> other.setIncarnation("")), valid},
                new Frame[] {hello(other -> other.setNode("a")), valid});
        for (Frame[] frames : invalid) {
            sendUntilClosed(delimited(frames));
        }
        assertEquals(invalid.size(), a.count("connections.refused"));
        assertEquals(List.of(), a.events);
        assertEquals(List.of(), a.pulls());
        sendUntilClosed(delimited(valid, valid));
        until(() -> a.events.equals(List.of("+raw1", "-raw1")));
        assertEquals(invalid.size() + 1, a.count("connections.refused"));
    }

    /** Guards against memory that fills up with frames for a peer that does not read. */
    @Test
    void slowReaderGetsNoMoreFramesAboveTheHighWaterMark() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", a.mesh.port())) {
            socket.getOutputStream().write(delimited(hello(plain -> {})));
            until(() -> a.mesh.connected().contains("raw"));
            Frame large = hello(big -> big.setRegion("x".repeat(100_000)));
            // Loopback buffers hold some MiB; 200 MB exceed them and the high-water mark on any system.
            int sent = 0;
            while (sent < 2_000 && a.mesh.send("raw", large)) {
                sent++;
            }
            assertTrue(sent < 2_000, "frames accepted without a reader");
            assertEquals(1, a.count("frames.rejected"));
        }
        until(() -> a.mesh.connected().isEmpty());
    }
}
