package dev.lavenderline.core.overload;

import dev.lavenderline.core.overload.Holding.Stage;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;

/**
 * Charges what one connection of an HTTP server makes the process hold, from accept to the last byte written, and
 * enforces the limits on its head, times and pipeline. One of its handlers stands before the HTTP codec, where bytes
 * are counted before they are parsed, the other one behind it, where requests begin and responses end.
 *
 * <p>Invariants: a charge precedes what it is for; a request is rejected with 503 only while the program has not got
 * all of it; once a request has been rejected, nothing of the connection reaches the program any more, and the program
 * has dropped what it had of it. Not thread-safe; confined to the event loop of the channel.
 */
final class ConnectionGuard extends GuardedConnection {
    /** Largest number of bytes that are read at once; bounds what is parsed before the next decision. */
    static final int MAX_READ_BYTES = 16 << 10;

    static final AttributeKey<ConnectionGuard> KEY = AttributeKey.valueOf(ConnectionGuard.class, "guard");

    private static final int MIN_READ_BYTES = 512;
    private static final int FIRST_READ_BYTES = 2 << 10;

    /** Requests that may be sent ahead of their responses. */
    private static final int MAX_PIPELINED_REQUESTS = 16;

    /** Time for which a rejected client may go on to write, so that it reads the response before the close. */
    private static final Duration CLOSE_DELAY = Duration.ofSeconds(2);

    private final ListenerGuard listener;
    private final Channel channel;
    private final ReceivedRequests received = new ReceivedRequests();
    private final PipelineGate gate = new PipelineGate();
    private ChannelHandlerContext bytesContext;

    /** Whether a response has been begun and not completed. */
    private boolean responseBegun;

    private boolean rejected;
    private boolean closed;

    /** Makes the program drop what it has of the newest request. */
    private Runnable drop = () -> {};

    /** When the current wait for the peer began, or the peer last did what it is waited for. */
    private long progressNanos;

    private long headNanos;
    private long bodyNanos;
    private long unsentBytes;
    private long rejectedNanos;

    ConnectionGuard(ListenerGuard listener, Channel channel) {
        this.listener = listener;
        this.channel = channel;
        this.progressNanos = nanos();
    }

    private long nanos() {
        return listener.account().nanos();
    }

    @Override
    String peer() {
        return String.valueOf(channel.remoteAddress());
    }

    void install(ChannelHandlerContext server) {
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES));
        channel.attr(KEY).set(this);
        listener.account().add(this);
        channel.closeFuture().addListener(done -> release());
        server.pipeline().addFirst(new BytesHandler());
        server.pipeline().addBefore(server.name(), null, new MessagesHandler());
        server.pipeline().addBefore(server.name(), null, gate);
        chargeOrReject();
    }

    private void release() {
        closed = true;
        gate.dropWaiting();
        drop.run();
        listener.account().remove(this);
        listener.closed(this);
    }

    /**
     * Sets what makes the program drop what it has received of its newest request. It runs before the charge for the
     * request ends without a response of the program: when the request is rejected, and when the connection closes.
     */
    void onGivenUp(Runnable newDrop) {
        drop = newDrop;
    }

    private long heldBytes() {
        return HeldMemory.CONNECTION_BYTES + unsentBytes + received.heldBytes();
    }

    /** Charges what is held now; returns false if there is no room. */
    private boolean charge() {
        return closed || rejected || listener.account().raise(this, heldBytes());
    }

    private void chargeOrReject() {
        if (!charge()) {
            reject(RefusalReason.MEMORY);
        }
    }

    /** Charges more memory for the request that the program works on; returns false if there is no room. */
    boolean charge(long bytes) {
        if (rejected || !received.add(bytes)) {
            return false;
        }
        if (charge()) {
            return true;
        }
        received.add(-bytes);
        return false;
    }

    @Override
    Holding holding(long nowNanos) {
        return new Holding(charged(), stage(), Duration.ofNanos(Math.max(0, nowNanos - progressNanos)));
    }

    private Stage stage() {
        if (rejected) {
            return Stage.CLOSING;
        }
        if (unsentBytes > 0) {
            return Stage.SENDING;
        }
        if (received.isIdle()) {
            return Stage.IDLE;
        }
        return received.isReceiving() ? Stage.RECEIVING : Stage.SERVING;
    }

    @Override
    void giveUp(RefusalReason reason) {
        reject(reason);
    }

    /**
     * Rejects the request that is being received, if the program does not work on another one; closes the connection
     * in any case. What is not parsed yet belongs to no request of the program.
     */
    private void reject(RefusalReason reason) {
        if (rejected || closed) {
            return;
        }
        listener.report(reason, this);
        boolean respond = stage() == Stage.RECEIVING
                && !received.answeredEarly()
                && !responseBegun
                && reason != RefusalReason.CONNECTIONS;
        rejected = true;
        rejectedNanos = nanos();
        gate.dropWaiting();
        drop.run();
        received.clear();
        listener.account().set(this, HeldMemory.CONNECTION_BYTES);
        if (!respond) {
            close();
            return;
        }
        // Closing at once would reset the connection, and the client might not read the response.
        bytesContext.writeAndFlush(listener.response(reason)).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Closes the connection at once; the server would first wait until all that it has written is sent. */
    private void close() {
        bytesContext.close();
    }

    @Override
    void enforceTimes(long now, ConnectionLimits limits) {
        if (rejected) {
            if (now - rejectedNanos > CLOSE_DELAY.toNanos()) {
                close();
            }
            return;
        }
        updateUnsent(now);
        switch (stage()) {
            case IDLE -> rejectAfter(progressNanos, now, limits.idleTimeout(), RefusalReason.IDLE);
            case SENDING -> rejectAfter(progressNanos, now, limits.idleTimeout(), RefusalReason.UNREAD_RESPONSE);
            case RECEIVING -> {
                if (received.isWithinHead()) {
                    rejectAfter(headNanos, now, limits.headerTimeout(), RefusalReason.HEAD_TIMEOUT);
                } else {
                    rejectAfter(bodyNanos, now, limits.bodyTimeout(), RefusalReason.BODY_TIMEOUT);
                }
            }
            case SERVING, CLOSING -> {}
        }
    }

    private void rejectAfter(long sinceNanos, long now, Duration limit, RefusalReason reason) {
        if (now - sinceNanos > limit.toNanos()) {
            reject(reason);
        }
    }

    /** Charges the bytes of responses that the peer has not made room for. */
    private void updateUnsent(long now) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        long unsent = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        if (unsent == 0 && unsentBytes == 0) {
            return;
        }
        if (unsent < unsentBytes || unsentBytes == 0) {
            progressNanos = now;
        }
        unsentBytes = unsent;
        chargeOrReject();
    }

    /** Stands before the codec. */
    private final class BytesHandler extends ChannelDuplexHandler {
        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            bytesContext = context;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!rejected && message instanceof ByteBuf bytes) {
                beginRead(bytes);
            }
            if (rejected) {
                ReferenceCountUtil.release(message);
                return;
            }
            context.fireChannelRead(message);
            received.endRead();
            chargeOrReject();
        }

        private void beginRead(ByteBuf bytes) {
            long now = nanos();
            if (stage() != Stage.SENDING) {
                progressNanos = now;
            }
            if (!received.isWithinHead()) {
                headNanos = now;
            }
            received.beginRead(bytes);
            if (received.isHeadWithin(listener.limits().headerBytes())) {
                chargeOrReject();
            } else {
                reject(RefusalReason.HEAD_TOO_LARGE);
            }
        }

        @Override
        public void flush(ChannelHandlerContext context) {
            context.flush();
            updateUnsent(nanos());
        }
    }

    /** Stands behind the codec, before the {@link PipelineGate}. */
    private final class MessagesHandler extends ChannelDuplexHandler {
        /** Whether the newest request has announced the end of the connection. */
        private boolean lastRequest;

        /** Whether what arrives stands behind the last request. */
        private boolean behindLast;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            behindLast |= lastRequest && message instanceof HttpRequest;
            if (!rejected && !behindLast) {
                receive(message);
            }
            if (rejected || behindLast) {
                ReferenceCountUtil.release(message);
            } else {
                context.fireChannelRead(message);
            }
        }

        private void receive(Object message) {
            if (message instanceof HttpRequest request) {
                lastRequest = !HttpUtil.isKeepAlive(request);
                receiveHead(request);
            }
            if (message instanceof HttpContent content && !rejected) {
                received.contentParsed(content);
                chargeOrReject();
                received.contentCharged(content);
            }
        }

        private void receiveHead(HttpRequest request) {
            if (received.size() >= MAX_PIPELINED_REQUESTS) {
                reject(RefusalReason.PIPELINE);
                return;
            }
            received.headParsed(request);
            bodyNanos = nanos();
            chargeOrReject();
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (rejected) {
                ReferenceCountUtil.release(message);
                promise.tryFailure(new ClosedChannelException());
                return;
            }
            // The message may be released once it is written.
            boolean interim = PipelineGate.isInterim(message);
            boolean ends = message instanceof LastHttpContent && !interim;
            responseBegun |= message instanceof HttpResponse && !interim;
            context.write(message, promise);
            if (ends) {
                responseEnded();
            }
        }

        private void responseEnded() {
            responseBegun = false;
            received.responseEnded();
            progressNanos = nanos();
            listener.account().set(ConnectionGuard.this, heldBytes());
        }
    }
}
