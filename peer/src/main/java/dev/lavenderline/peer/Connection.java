package dev.lavenderline.peer;

import dev.lavenderline.proto.peer.Frame;
import dev.lavenderline.proto.peer.Heartbeat;
import dev.lavenderline.proto.peer.Hello;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import org.tinylog.Logger;

/**
 * One TCP connection to a peer. The first frame in each direction is a Hello.
 *
 * <p>Confined to the event loop of the mesh, except for {@link #send}.
 */
final class Connection extends SimpleChannelInboundHandler<Frame> {
    private final PeerMesh mesh;
    /** The address that this node dialled; empty for an accepted connection. */
    private final String dialled;

    private ChannelHandlerContext context;
    private Hello peer;
    private long lastFrame;
    private long heartbeatsSent;
    private long acknowledged;
    private long lastAcknowledgement;
    private long heartbeatReceived;
    private boolean isClosed;

    Connection(PeerMesh mesh, String dialled) {
        this.mesh = mesh;
        this.dialled = dialled;
    }

    boolean isDialled() {
        return !dialled.isEmpty();
    }

    String dialled() {
        return dialled;
    }

    /** Returns the peer's introduction, null before it arrived. */
    Hello peer() {
        return peer;
    }

    /** Sends a frame from any thread unless the outbound buffer is above its high-water mark. */
    boolean send(Frame frame) {
        if (!context.channel().isWritable()) {
            return false;
        }
        context.writeAndFlush(frame, context.voidPromise());
        return true;
    }

    void sendHeartbeat(Heartbeat heartbeat) {
        if (heartbeatsSent > 0 && heartbeatsSent == acknowledged) {
            // The wait for an acknowledgement starts now, however long ago the last heartbeat was sent.
            lastAcknowledgement = mesh.nanos();
        }
        heartbeatsSent++;
        send(Frame.newBuilder()
                .setHeartbeat(heartbeat.toBuilder().setSequence(heartbeatsSent).setAcknowledged(heartbeatReceived))
                .build());
    }

    /** Returns how long ago the last frame arrived, in nanoseconds. */
    long silence() {
        return mesh.nanos() - lastFrame;
    }

    /** Closes the connection if its other side is silent or does not receive what this side sends. */
    void check() {
        if (silence() >= PeerMesh.SILENCE_LIMIT.toNanos()) {
            mesh.metrics().silent.inc();
            Logger.warn("{} no frame from {} for {} ms", PeerEvent.SILENT, this, silence() / 1_000_000);
            close();
        } else if (heartbeatsSent > acknowledged
                && mesh.nanos() - lastAcknowledgement >= PeerMesh.ACKNOWLEDGEMENT_LIMIT.toNanos()) {
            mesh.metrics().silent.inc();
            Logger.warn(
                    "{} {} acknowledged heartbeat {} of {}",
                    PeerEvent.UNACKNOWLEDGED,
                    this,
                    acknowledged,
                    heartbeatsSent);
            close();
        }
    }

    void close() {
        isClosed = true;
        context.close();
        mesh.closed(this);
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        lastFrame = mesh.nanos();
        lastAcknowledgement = lastFrame;
        mesh.opened(this);
        active.writeAndFlush(mesh.hello(), active.voidPromise());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ignored, Frame frame) {
        if (isClosed) {
            // Frames that were read together with the one that closed the connection.
            return;
        }
        lastFrame = mesh.nanos();
        if (peer == null) {
            introduce(frame);
            return;
        }
        if (frame.hasHello()) {
            refuse("a second Hello");
            return;
        }
        if (frame.hasHeartbeat()) {
            heartbeatReceived = frame.getHeartbeat().getSequence();
            if (frame.getHeartbeat().getAcknowledged() > acknowledged) {
                acknowledged = frame.getHeartbeat().getAcknowledged();
                lastAcknowledgement = lastFrame;
            }
        }
        mesh.received(peer, frame);
    }

    private void introduce(Frame frame) {
        if (!frame.hasHello()) {
            refuse("the first frame is " + frame.getBodyCase());
            return;
        }
        Hello hello = frame.getHello();
        Hello own = mesh.hello().getHello();
        if (hello.getVersion() != own.getVersion()) {
            refuse("protocol version " + hello.getVersion() + " instead of " + own.getVersion());
        } else if (!hello.getCluster().equals(own.getCluster())) {
            refuse("cluster '" + hello.getCluster() + "' instead of '" + own.getCluster() + "'");
        } else if (hello.getNode().isEmpty() || hello.getIncarnation().isEmpty()) {
            refuse("a Hello without node or incarnation");
        } else if (hello.getNode().equals(own.getNode())) {
            refuse("the node's own name " + own.getNode());
        } else {
            peer = hello;
            lastAcknowledgement = lastFrame;
            mesh.introduced(this);
        }
    }

    private void refuse(String reason) {
        mesh.metrics().refused.inc();
        Logger.warn("{} refused {}: {}", PeerEvent.REFUSED, this, reason);
        close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        mesh.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        if (isClosed) {
            // What follows a malformed frame is malformed too.
            return;
        }
        if (cause instanceof DecoderException) {
            mesh.metrics().malformed.inc();
            Logger.warn("{} malformed frame from {}: {}", PeerEvent.MALFORMED, this, cause.getMessage());
        } else {
            Logger.debug("{} connection to {} failed: {}", PeerEvent.DISCONNECTED, this, cause.getMessage());
        }
        close();
    }

    @Override
    public String toString() {
        String name = peer == null ? "unknown peer" : peer.getNode() + "/" + peer.getIncarnation();
        return name + " at " + (context == null ? dialled : context.channel().remoteAddress());
    }
}
