package dev.lavenderline.core.overload;

import dev.lavenderline.core.overload.Holding.Stage;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Charges what one connection of an HTTP server makes the process hold, from accept to the last byte written, and
 * enforces the limits on its head, times and pipeline. One of its handlers stands before the HTTP codec, where
 * bytes are counted before they are parsed, the other one behind it, where requests begin and responses end.
 *
 * <p>Invariants: a charge precedes what it is for; a request is rejected with 503 only while the program has not got
 * all of it; once a request has been rejected, nothing of the connection reaches the program any more. Not thread-safe;
 * confined to the event loop of the channel.
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

    private static final int RETRY_AFTER_SECONDS = 1;

    private final ListenerGuard listener;
    private final Channel channel;
    private final HeadScanner head = new HeadScanner();
    private final Deque<Request> requests = new ArrayDeque<>();
    private final PipelineGate gate = new PipelineGate();
    private ChannelHandlerContext bytesContext;

    /** Whether the next byte belongs to a head, as far as the codec has parsed. */
    private boolean awaitingHead = true;

    /** Whether a response has been begun and not completed. */
    private boolean responseBegun;

    /** Whether the body of the newest request is sent in chunks. */
    private boolean chunked;

    /** Whether a part of a request has been parsed in the read in progress. */
    private boolean parsed;

    private boolean rejected;
    private boolean closed;

    /** When the current wait for the peer began, or the peer last did what it is waited for. */
    private long progressNanos;

    /** Bytes of the read in progress that have not turned out to be a part of a request. */
    private long unassignedBytes;

    /** Bytes since the last parsed part of a request; they may be trailers, or the begin of another head. */
    private long unparsedBytes;

    private long headNanos;
    private long bodyNanos;
    private long unsentBytes;
    private long rejectedNanos;

    /** A request from the end of its head until its response is written. */
    private static final class Request {
        private long heldBytes;
        private boolean received;

        Request(long heldBytes) {
            this.heldBytes = heldBytes;
        }
    }

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
        if (!charge()) {
            reject(RefusalReason.MEMORY);
        }
    }

    private void release() {
        closed = true;
        gate.dropWaiting();
        listener.account().remove(this);
        listener.closed(this);
    }

    private long heldBytes() {
        long bytes = HeldMemory.CONNECTION_BYTES + unsentBytes + HeldMemory.ofUnparsed(unparsedBytes);
        bytes += awaitingHead ? head.heldBytes() : 0;
        for (Request request : requests) {
            bytes += request.heldBytes;
        }
        return bytes;
    }

    /** Charges what is held now; returns false if there is no room. */
    private boolean charge() {
        return closed || rejected || listener.account().raise(this, heldBytes());
    }

    /** Charges more memory for the request that the program works on; returns false if there is no room. */
    boolean charge(long bytes) {
        Request request = requests.peek();
        if (request == null || rejected) {
            return false;
        }
        request.heldBytes += bytes;
        if (charge()) {
            return true;
        }
        request.heldBytes -= bytes;
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
        if (requests.isEmpty()) {
            return head.begun() || !awaitingHead ? Stage.RECEIVING : Stage.IDLE;
        }
        return requests.size() == 1 && !requests.peek().received ? Stage.RECEIVING : Stage.SERVING;
    }

    /** Returns whether the program has answered a request that is still being received. */
    private boolean answeredEarly() {
        return requests.isEmpty() && !awaitingHead;
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
        boolean respond = stage() == Stage.RECEIVING && !answeredEarly() && reason != RefusalReason.CONNECTIONS;
        rejected = true;
        rejectedNanos = nanos();
        gate.dropWaiting();
        requests.clear();
        listener.account().set(this, HeldMemory.CONNECTION_BYTES);
        if (!respond) {
            close();
            return;
        }
        // Closing at once would reset the connection, and the client might not read the response.
        bytesContext.writeAndFlush(response(reason)).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Closes the connection at once; the server would first wait until all that it has written is sent. */
    private void close() {
        bytesContext.close();
    }

    private static ByteBuf response(RefusalReason reason) {
        String status = switch (reason) {
            case HEAD_TOO_LARGE -> "431 Request Header Fields Too Large";
            case HEAD_TIMEOUT, BODY_TIMEOUT -> "408 Request Timeout";
            default -> "503 Service Unavailable";
        };
        String body = "not run: " + reason.label() + "\n";
        return Unpooled.copiedBuffer(
                "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: "
                        + body.length()
                        + (reason == RefusalReason.HEAD_TOO_LARGE ? "" : "\r\nRetry-After: " + RETRY_AFTER_SECONDS)
                        + "\r\n\r\n" + body,
                StandardCharsets.ISO_8859_1);
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
                if (awaitingHead) {
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
        if (!charge()) {
            reject(RefusalReason.MEMORY);
        }
    }

    private boolean withinHeadLimits() {
        int limit = listener.limits().headerBytes();
        return head.firstLineBytes() <= limit && head.headerBytes() <= limit;
    }

    /** Stands before the codec. */
    private final class BytesHandler extends ChannelDuplexHandler {
        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            bytesContext = context;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (rejected) {
                ReferenceCountUtil.release(message);
                return;
            }
            long now = nanos();
            if (message instanceof ByteBuf bytes) {
                read(bytes, now);
            }
            if (rejected) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (stage() != Stage.SENDING) {
                progressNanos = now;
            }
            long before = unparsedBytes;
            parsed = false;
            context.fireChannelRead(message);
            unparsedBytes = unassignedBytes + (parsed ? 0 : before);
            if (unparsedBytes > 0) {
                checkLimits();
            }
        }

        private void read(ByteBuf bytes, long now) {
            unassignedBytes = bytes.readableBytes();
            if (!awaitingHead) {
                return;
            }
            if (!head.begun()) {
                headNanos = now;
            }
            unassignedBytes -= head.feed(bytes);
            checkLimits();
        }

        private void checkLimits() {
            if (!withinHeadLimits()) {
                reject(RefusalReason.HEAD_TOO_LARGE);
            } else if (!charge()) {
                reject(RefusalReason.MEMORY);
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
                received(message);
            }
            if (rejected || behindLast) {
                ReferenceCountUtil.release(message);
            } else {
                context.fireChannelRead(message);
            }
        }

        private void received(Object message) {
            if (message instanceof HttpRequest request) {
                lastRequest = !HttpUtil.isKeepAlive(request);
                receivedHead(request);
            }
            if (message instanceof HttpContent content && !rejected) {
                receivedContent(content);
            }
        }

        private void receivedHead(HttpRequest request) {
            if (requests.size() >= MAX_PIPELINED_REQUESTS) {
                reject(RefusalReason.PIPELINE);
                return;
            }
            parsed = true;
            unparsedBytes = 0;
            chunked = HttpUtil.isTransferEncodingChunked(request);
            if (head.begun()) {
                requests.add(new Request(head.heldBytes()));
                head.reset();
            } else {
                // Its begin stood behind another request.
                requests.add(new Request(HeldMemory.ofParsedHead(request)));
                unassignedBytes = Math.max(0, unassignedBytes - HeldMemory.wireBytes(request));
            }
            awaitingHead = false;
            bodyNanos = nanos();
            if (!charge()) {
                reject(RefusalReason.MEMORY);
            }
        }

        private void receivedContent(HttpContent content) {
            int bytes = content.content().readableBytes();
            parsed = true;
            unparsedBytes = 0;
            int framing = chunked ? HeldMemory.framingBytes(bytes) : 0;
            unassignedBytes = Math.max(0, unassignedBytes - bytes - framing);
            Request newest = requests.peekLast();
            boolean complete = content instanceof LastHttpContent;
            if (newest != null && !newest.received) {
                newest.heldBytes += HeldMemory.ofBody(bytes);
                if (content instanceof LastHttpContent end) {
                    newest.heldBytes += HeldMemory.ofHeaders(end.trailingHeaders());
                }
                if (!charge()) {
                    reject(RefusalReason.MEMORY);
                    return;
                }
                newest.received = complete;
            }
            awaitingHead = complete;
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
            requests.poll();
            progressNanos = nanos();
            listener.account().set(ConnectionGuard.this, heldBytes());
        }
    }
}
