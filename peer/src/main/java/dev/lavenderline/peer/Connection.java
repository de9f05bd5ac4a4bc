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
 * <p>Confined to the event loop of the mesh, except for {@link #send}, which any thread may call.
 */
final class Connection extends SimpleChannelInboundHandler<Frame> {
    private final PeerMesh mesh;
    /** The address to which this node connected; empty for an inbound connection. */
    private final String targetAddress;

    private ChannelHandlerContext context;
    private Hello peerHello;
    private long lastFrameNanos;
    /** Also the sequence of the last heartbeat sent. */
    private long heartbeatsSent;
    /** The highest own sequence that the peer acknowledged. */
    private long acknowledgedSequence;

    private long lastAcknowledgementNanos;
    /** The sequence of the last heartbeat from the peer. */
    private long receivedSequence;

    private boolean isClosed;

    Connection(PeerMesh mesh, String targetAddress) {
        this.mesh = mesh;
        this.targetAddress = targetAddress;
    }

    boolean isOutbound() {
        return !targetAddress.isEmpty();
    }

    String targetAddress() {
        return targetAddress;
    }

    /** Returns the Hello that the peer sent; null before a valid one arrived. */
    Hello peerHello() {
        return peerHello;
    }

    /** Sends a frame; returns false without sending if the outbound buffer is above its high-water mark. */
    boolean send(Frame frame) {
        if (!context.channel().isWritable()) {
            return false;
        }
        context.writeAndFlush(frame, context.voidPromise());
        return true;
    }

    void sendHeartbeat(Heartbeat heartbeat) {
        if (heartbeatsSent > 0 && heartbeatsSent == acknowledgedSequence) {
            // All earlier heartbeats are acknowledged, however long ago, so the timeout starts with this one.
            lastAcknowledgementNanos = mesh.nanos();
        }
        heartbeatsSent++;
        send(Frame.newBuilder()
                .setHeartbeat(heartbeat.toBuilder().setSequence(heartbeatsSent).setAcknowledged(receivedSequence))
                .build());
    }

    /** Returns the nanoseconds since the last frame arrived. */
    long nanosSinceLastFrame() {
        return mesh.nanos() - lastFrameNanos;
    }

    /** Closes the connection if no frames arrive from the peer or the peer stops acknowledging heartbeats. */
    void closeIfUnresponsive() {
        if (nanosSinceLastFrame() >= PeerMesh.RECEIVE_TIMEOUT.toNanos()) {
            mesh.metrics().silentConnections.inc();
            Logger.warn(
                    "{} no frame received from {} for {} ms; closing the connection",
                    PeerEvent.SILENT,
                    this,
                    nanosSinceLastFrame() / 1_000_000);
            close();
        } else if (heartbeatsSent > acknowledgedSequence
                && mesh.nanos() - lastAcknowledgementNanos >= PeerMesh.ACKNOWLEDGEMENT_TIMEOUT.toNanos()) {
            mesh.metrics().silentConnections.inc();
            Logger.warn(
                    "{} {} acknowledged heartbeats only up to {} of {}; closing the connection",
                    PeerEvent.UNACKNOWLEDGED,
                    this,
                    acknowledgedSequence,
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
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        lastFrameNanos = mesh.nanos();
        lastAcknowledgementNanos = lastFrameNanos;
        mesh.opened(this);
        ctx.writeAndFlush(mesh.helloFrame(), ctx.voidPromise());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        if (isClosed) {
            // The decoder may emit more frames from the same read after one that closed the connection.
            return;
        }
        lastFrameNanos = mesh.nanos();
        if (peerHello == null) {
            receiveHello(frame);
            return;
        }
        if (frame.hasHello()) {
            refuse("received a second Hello");
            return;
        }
        if (frame.hasHeartbeat()) {
            receivedSequence = frame.getHeartbeat().getSequence();
            if (frame.getHeartbeat().getAcknowledged() > acknowledgedSequence) {
                acknowledgedSequence = frame.getHeartbeat().getAcknowledged();
                lastAcknowledgementNanos = lastFrameNanos;
            }
        }
        mesh.received(peerHello, frame);
    }

    private void receiveHello(Frame frame) {
        if (!frame.hasHello()) {
            refuse("the first frame is " + frame.getBodyCase() + ", expected HELLO");
            return;
        }
        Hello hello = frame.getHello();
        Hello own = mesh.helloFrame().getHello();
        if (hello.getVersion() != own.getVersion()) {
            refuse("protocol version is " + hello.getVersion() + ", expected " + own.getVersion());
        } else if (!hello.getCluster().equals(own.getCluster())) {
            refuse("cluster is '" + hello.getCluster() + "', expected '" + own.getCluster() + "'");
        } else if (hello.getNode().isEmpty() || hello.getIncarnation().isEmpty()) {
            refuse("Hello lacks a node or incarnation: node '" + hello.getNode() + "', incarnation '"
                    + hello.getIncarnation() + "'");
        } else if (hello.getNode().equals(own.getNode())) {
            refuse("the peer has the name of this node, " + own.getNode());
        } else {
            peerHello = hello;
            lastAcknowledgementNanos = lastFrameNanos;
            mesh.handshakeCompleted(this);
        }
    }

    private void refuse(String reason) {
        mesh.metrics().refusedConnections.inc();
        Logger.warn("{} refused connection to {}: {}", PeerEvent.REFUSED, this, reason);
        close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mesh.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (isClosed) {
            // The frame boundaries are lost after a malformed frame, so later errors follow from the first one.
            return;
        }
        if (cause instanceof DecoderException) {
            mesh.metrics().malformedConnections.inc();
            Logger.warn("{} malformed frame from {}: {}", PeerEvent.MALFORMED, this, cause.getMessage());
        } else {
            Logger.debug("{} connection to {} failed: {}", PeerEvent.DISCONNECTED, this, cause.getMessage());
        }
        close();
    }

    @Override
    public String toString() {
        String name = peerHello == null ? "unknown peer" : peerHello.getNode() + "/" + peerHello.getIncarnation();
        return name + " at "
                + (context == null ? targetAddress : context.channel().remoteAddress());
    }
}
