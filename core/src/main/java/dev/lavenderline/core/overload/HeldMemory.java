package dev.lavenderline.core.overload;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Iterator;
import java.util.Map;

/**
 * Estimates the memory that a process holds for what it has received. Upper bounds of what the objects take on a
 * 64-bit JVM, copies included that are made to forward a request.
 */
final class HeldMemory {
    /** Objects of an open connection without a request. */
    static final int CONNECTION_BYTES = 8 << 10;

    /** Objects of a request besides its header lines and its body. */
    private static final int REQUEST_BYTES = 2 << 10;

    /** Entry, name and value of a header line, and the entry of the copy that is forwarded. */
    private static final int HEADER_LINE_BYTES = 400;

    /** A body is collected in a buffer that grows by doubling, and is copied once to be sent. */
    private static final int BODY_COPIES = 2;

    private HeldMemory() {}

    /** Returns the memory of a head of some bytes on the wire in some lines. */
    static long ofHead(long bytes, long lines) {
        return REQUEST_BYTES + 2 * bytes + HEADER_LINE_BYTES * lines;
    }

    /** Returns the memory of a parsed head whose bytes have not been measured. */
    static long ofParsedHead(HttpRequest request) {
        long bytes = request.uri().length();
        for (Iterator<Map.Entry<CharSequence, CharSequence>> lines =
                        request.headers().iteratorCharSequence();
                lines.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> line = lines.next();
            bytes += line.getKey().length() + line.getValue().length();
        }
        return ofHead(bytes, request.headers().size());
    }

    /** Returns the memory of bytes of a body. */
    static long ofBody(long bytes) {
        return BODY_COPIES * bytes;
    }
}
