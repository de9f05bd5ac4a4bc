package dev.lavenderline.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;
import java.util.function.Consumer;

/**
 * Reads the body of a request without interpreting it. The library's body handler takes multipart bodies apart, so
 * that they could not be forwarded.
 */
final class RawBody {
    private final RoutingContext ctx;
    private final int limit;
    private final Buffer content = Buffer.buffer();
    private boolean failed;

    private RawBody(RoutingContext ctx, int limit) {
        this.ctx = ctx;
        this.limit = limit;
    }

    /** Passes the whole body on; a body above the limit in bytes fails the request with 413. */
    static void read(RoutingContext ctx, int limit, Consumer<Buffer> then) {
        RawBody body = new RawBody(ctx, limit);
        ctx.request().handler(body::append);
        ctx.request().exceptionHandler(broken -> body.fail(400));
        ctx.request().endHandler(end -> {
            if (!body.failed) {
                then.accept(body.content);
            }
        });
    }

    private void append(Buffer piece) {
        if (failed) {
            return;
        }
        if (content.length() + piece.length() > limit) {
            fail(413);
            return;
        }
        content.appendBuffer(piece);
    }

    private void fail(int status) {
        if (!failed) {
            failed = true;
            ctx.fail(status);
        }
    }
}
