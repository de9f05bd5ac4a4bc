package dev.lavenderline.core.overload;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/**
 * The response of a listener to a request that is refused while it is being received. Immutable.
 *
 * @param contentType content type of the body
 * @param body returns the body for a reason
 */
public record RefusalResponse(String contentType, Function<RefusalReason, String> body) {
    /** A response in plain text. */
    public static final RefusalResponse PLAIN_TEXT =
            new RefusalResponse("text/plain", reason -> "not run: " + reason.label() + "\n");

    private static final int RETRY_AFTER_SECONDS = 1;

    /** Returns the bytes of the response, which is the last one of its connection. */
    ByteBuf encode(RefusalReason reason) {
        byte[] content = body.apply(reason).getBytes(StandardCharsets.UTF_8);
        // A head that is too large stays so.
        String retryAfter =
                reason == RefusalReason.HEAD_TOO_LARGE ? "" : "Retry-After: " + RETRY_AFTER_SECONDS + "\r\n";
        String head =
                "HTTP/1.1 " + HttpResponseStatus.valueOf(reason.status()) + "\r\nConnection: close\r\nContent-Type: "
                        + contentType + "\r\nContent-Length: " + content.length + "\r\n" + retryAfter + "\r\n";
        return Unpooled.wrappedBuffer(head.getBytes(StandardCharsets.ISO_8859_1), content);
    }
}
