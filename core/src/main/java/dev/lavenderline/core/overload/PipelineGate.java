package dev.lavenderline.core.overload;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Passes one request of a connection at a time to the HTTP server. The next one waits until the response before it is
 * complete and the socket has room again: the server itself would begin it at once, and keep the responses.
 *
 * <p>Invariant: messages keep their order. Not thread-safe; confined to the event loop of the channel.
 */
final class PipelineGate extends ChannelDuplexHandler {
    private final Deque<Object> waiting = new ArrayDeque<>();
    private ChannelHandlerContext context;

    /** Whether the server has a request whose response is not complete. */
    private boolean responding;

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (waiting.isEmpty() && !(message instanceof HttpRequest && !mayBegin())) {
            pass(message);
        } else {
            waiting.add(message);
        }
    }

    private boolean mayBegin() {
        return !responding && context.channel().isWritable();
    }

    private void pass(Object message) {
        responding |= message instanceof HttpRequest;
        context.fireChannelRead(message);
    }

    private void passNext() {
        if (waiting.isEmpty() || !mayBegin()) {
            return;
        }
        pass(waiting.poll());
        while (!waiting.isEmpty() && !(waiting.peek() instanceof HttpRequest)) {
            pass(waiting.poll());
        }
        context.fireChannelReadComplete();
    }

    /** Drops the requests that wait. */
    void dropWaiting() {
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
    }

    /** Returns whether a message is an interim response (RFC 9110, section 15.2). */
    static boolean isInterim(Object message) {
        return message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        ctx.fireChannelWritabilityChanged();
        ctx.channel().eventLoop().execute(this::passNext);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        boolean ends = message instanceof LastHttpContent && !isInterim(message);
        ctx.write(message, promise);
        if (ends) {
            responding = false;
            if (!waiting.isEmpty()) {
                ctx.channel().eventLoop().execute(this::passNext);
            }
        }
    }
}
