package dev.lavenderline.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;
import java.util.function.Consumer;

/**
 * Reads a request body without interpreting it. The body handler of Vert.x parses multipart bodies, which could then
 * not be forwarded unchanged.
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

    /** Passes the complete body to {@code then}; a body of more than {@code limit} bytes fails the request with 413. */
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

    private void append(Buffer chunk) {
        if (failed) {
            return;
        }
        if (content.length() + chunk.length() > limit) {
            fail(413);
            return;
        }
        content.appendBuffer(chunk);
    }

    private void fail(int status) {
        if (!failed) {
            failed = true;
            ctx.fail(status);
        }
    }
}
