package dev.lavenderline.core.response;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import io.vertx.core.http.impl.UnpooledHttpClientConnection;
import java.lang.reflect.Field;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.regex.Pattern;

/**
 * HTTP/1.1 codec of a client connection that accepts a response only if its head, its framing and its connection agree
 * on it. Replaces the library's codec, which is lenient with responses: it accepts any number as a status, drops what
 * stands between a field name and its colon, and takes any end of the connection for the end of a body without length.
 *
 * <p>Invariants: a response has a status from 100 to 599 and field names that are tokens with a colon right behind them
 * (RFC 9112, sections 4 and 5); its body is framed in one way (section 6); a body that the end of the connection ends
 * is complete only if the peer has closed the connection in order; an interim response holds no status line of another
 * one. Any other response fails and ends its connection. Not thread-safe; confined to the event loop of the connection.
 */
public final class ResponseCodec extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
    /** Name of the codec in the pipelines of the library's client connections. */
    private static final String CODEC = "codec";

    private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");

    /** The connection that a connection outside a pool wraps; the library has no accessor for it. */
    private static final Field UNPOOLED_DELEGATE = unpooledDelegate();

    /** Methods of the requests without a final response yet, oldest first. */
    private final Queue<HttpMethod> methods = new ArrayDeque<>();

    private ResponseCodec(HttpClientOptions options) {
        init(
                new Decoder(new HttpDecoderConfig()
                        .setMaxInitialLineLength(options.getMaxInitialLineLength())
                        .setMaxHeaderSize(options.getMaxHeaderSize())
                        .setMaxChunkSize(options.getMaxChunkSize())
                        .setInitialBufferSize(options.getDecoderInitialBufferSize())),
                new Encoder());
    }

    /** Returns a client whose pooled connections use this codec. */
    public static HttpClientAgent client(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
        return vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(connection -> install(connection, options))
                .build();
    }

    /**
     * Makes a connection of the library's client use this codec; does nothing if it does already. Call it before the
     * first request is written.
     *
     * @param options options of the client
     */
    public static void install(HttpConnection connection, HttpClientOptions options) {
        ChannelPipeline pipeline = pooled(connection).channelHandlerContext().pipeline();
        if (pipeline.get(ResponseCodec.class) == null) {
            // The end of the peer's bytes is reported only with half-closure; the decoder closes the connection then.
            pipeline.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
            pipeline.replace(CODEC, CODEC, new ResponseCodec(options));
        }
    }

    private static HttpClientConnectionInternal pooled(HttpConnection connection) {
        if (connection instanceof HttpClientConnectionInternal pooled) {
            return pooled;
        }
        try {
            return (HttpClientConnectionInternal) UNPOOLED_DELEGATE.get(connection);
        } catch (IllegalAccessException e) {
            throw new IllegalStateException("the field is accessible", e);
        }
    }

    private static Field unpooledDelegate() {
        try {
            Field field = UnpooledHttpClientConnection.class.getDeclaredField("actual");
            field.setAccessible(true);
            return field;
        } catch (NoSuchFieldException e) {
            throw new IllegalStateException("the HTTP library has another structure", e);
        }
    }

    private final class Encoder extends HttpRequestEncoder {
        @Override
        protected void encode(ChannelHandlerContext context, Object message, List<Object> out) throws Exception {
            if (message instanceof HttpRequest request) {
                methods.add(request.method());
            }
            super.encode(context, message, out);
        }
    }

    private final class Decoder extends HttpResponseDecoder {
        private boolean peerClosed;

        /** Whether the status line of the next response has been read, and not yet its whole head. */
        private boolean withinHead;

        private boolean withinBody;

        /** Whether a response has failed; what follows it belongs to no request. */
        private boolean failed;

        Decoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        protected HttpMessage createMessage(String[] statusLine) {
            if (!STATUS.matcher(statusLine[1]).matches()) {
                throw new IllegalArgumentException("invalid status");
            }
            withinHead = true;
            return super.createMessage(statusLine);
        }

        /** Returns a field name; the library ends it at a blank and looks for the colon behind that. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            boolean colonFollows = start + length < line.length && line[start + length] == ':';
            if (start != 0 || length == 0 || !colonFollows || !FieldNames.isToken(line, start, length)) {
                throw new IllegalArgumentException("invalid field name");
            }
            return super.splitHeaderName(line, start, length);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both a length and a transfer coding");
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
            if (failed) {
                in.skipBytes(in.readableBytes());
                return;
            }
            if (!withinBody && hasFoldedLine(in)) {
                failed = true;
                throw new IllegalArgumentException("field name after a blank, or folded line");
            }
            int decoded = out.size();
            super.decode(context, in, out);
            for (Object message : out.subList(decoded, out.size())) {
                if (message instanceof HttpResponse response) {
                    withinHead = false;
                    withinBody = true;
                    if (undecoded(response.headers())) {
                        fail(response, "unknown transfer coding");
                    } else if (interim(response) && hidesResponse(response)) {
                        fail(response, "interim response with a part of another one");
                    }
                }
                withinBody &= !(message instanceof LastHttpContent);
            }
        }

        private void fail(HttpResponse response, String cause) {
            failed = true;
            response.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(cause)));
        }

        /**
         * Returns whether a line of the head begins with a blank. A gateway may refuse such responses (RFC 9112,
         * section 5.2); the library joins the line with the one before. The bytes begin with a line, as the library
         * reads heads by lines.
         */
        private boolean hasFoldedLine(ByteBuf in) {
            boolean lineStart = true;
            boolean skipsEmptyLines = !withinHead;
            for (int i = in.readerIndex(); i < in.writerIndex(); i++) {
                byte c = in.getByte(i);
                boolean lineEnd = c == '\r' || c == '\n';
                if (lineStart && (c == ' ' || c == '\t')) {
                    return true;
                }
                if (lineStart && lineEnd && !skipsEmptyLines) {
                    return false;
                }
                skipsEmptyLines &= lineEnd;
                lineStart = c == '\n' || (lineStart && lineEnd);
            }
            return false;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            boolean head = !interim((HttpResponse) message) && HttpMethod.HEAD.equals(methods.poll());
            return head || super.isContentAlwaysEmpty(message);
        }

        /** Closes the connection at the end of the peer's bytes, as without half-closure; the last message follows. */
        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
            if (event instanceof ChannelInputShutdownEvent) {
                peerClosed = true;
                context.close();
            } else {
                super.userEventTriggered(context, event);
            }
        }

        /** Ends a body without length unless the connection was reset, or closed on this side. */
        @Override
        protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
            if (peerClosed) {
                super.decodeLast(context, in, out);
            }
        }
    }

    private static boolean interim(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    /**
     * Returns whether the head of an interim response holds a status line, so that it may have swallowed the head of
     * the final one. {@link ResponseIntegrity} checks final heads, which callers of the client see.
     */
    private static boolean hidesResponse(HttpResponse response) {
        return ResponseIntegrity.containsStatusLine(response.status().reasonPhrase())
                || response.headers().entries().stream()
                        .anyMatch(field -> ResponseIntegrity.containsStatusLine(field.getValue()));
    }

    /** Returns whether a response has another transfer coding than chunked, so that the end of its body is unknown. */
    private static boolean undecoded(HttpHeaders headers) {
        return headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                .anyMatch(coding -> !coding.trim().equalsIgnoreCase("chunked"));
    }
}
