package dev.lavenderline.standins.stutter;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.impl.HttpServerConnection;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Writes second copies of responses, or parts of them, to a connection, below the HTTP codec, so that they need not be valid there.
 *
 * <p>Not thread-safe; confined to the connection's event loop.
 */
public final class StutteringConnection extends ChannelDuplexHandler {
    private static final long IDLE_DELAY_MS = 5;

    private final Stutter stutter;
    private ChannelHandlerContext channel;
    private StringBuilder current = new StringBuilder();
    private String previous = "";
    private boolean copied;

    private StutteringConnection(Stutter stutter) {
        this.stutter = stutter;
    }

    /** Makes a connection of an HTTP/1.1 server write the copies that {@link #copyResponse} asks for. */
    public static void prepare(HttpConnection connection, Stutter stutter) {
        if (stutter.place() != Stutter.Place.NONE) {
            pipeline(connection).addFirst(new StutteringConnection(stutter));
        }
    }

    /** Makes a copy of the response to a request if its connection is prepared; call it before the response. */
    public static void copyResponse(HttpServerRequest request) {
        StutteringConnection stuttering = pipeline(request.connection()).get(StutteringConnection.class);
        if (stuttering != null) {
            stuttering.copy(request.response());
        }
    }

    private static ChannelPipeline pipeline(HttpConnection connection) {
        return ((HttpServerConnection) connection).channelHandlerContext().pipeline();
    }

    private void copy(HttpServerResponse response) {
        copied = true;
        response.bodyEndHandler(end -> {
            boolean rejection = response.getStatusCode() >= 400;
            copied = rejection || stutter.place() != Stutter.Place.BEHIND_REJECTION;
            // The end of the body is written after this handler.
            channel.executor().execute(this::responseEnded);
        });
    }

    private void responseEnded() {
        String copy = text(current);
        if (stutter.place() == Stutter.Place.BEHIND) {
            write(copy);
        } else if (stutter.place() == Stutter.Place.IDLE) {
            channel.executor().schedule(() -> write(copy), IDLE_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (current.length() > 0) {
            previous = copied ? text(current) : "";
            current = new StringBuilder();
            copied = false;
            if (stutter.place() == Stutter.Place.BEFORE_NEXT || stutter.place() == Stutter.Place.BEHIND_REJECTION) {
                write(previous);
            } else if (stutter.place() == Stutter.Place.CUT_BEFORE_NEXT) {
                write(partOfHead(previous));
            }
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            boolean first = current.length() == 0;
            current.append(bytes.toString(StandardCharsets.ISO_8859_1));
            if (first && copied && stutter.place() == Stutter.Place.PART_OF_HEAD) {
                write(partOfHead(withOtherStatus(text(current))));
            }
            if (!first && stutter.place() == Stutter.Place.WITHIN_NEXT) {
                write(previous);
                previous = "";
            }
        }
        context.write(message, promise);
    }

    /** Returns the start of a response, cut within its head at a place that depends on the response only. */
    private static String partOfHead(String response) {
        int headLength = response.indexOf("\r\n\r\n") + 4;
        return response.isEmpty() ? "" : response.substring(0, Math.floorMod(response.hashCode(), headLength));
    }

    private static String withOtherStatus(String response) {
        return response.startsWith("HTTP/1.1 200 ")
                ? response.replaceFirst("200 OK", "500 Internal Server Error")
                : response.replaceFirst(" \\d{3} [^\r]*", " 200 OK");
    }

    private String text(StringBuilder response) {
        return stutter.withoutId()
                ? response.toString().replaceFirst("(?i)X-Request-Id: [^\r]*\r\n", "")
                : response.toString();
    }

    private void write(String copy) {
        if (!copy.isEmpty()) {
            channel.writeAndFlush(Unpooled.copiedBuffer(copy, StandardCharsets.ISO_8859_1));
        }
    }
}
