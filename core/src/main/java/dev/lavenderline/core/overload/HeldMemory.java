package dev.lavenderline.core.overload;

import io.netty.handler.codec.http.HttpHeaders;
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

    private static final int LINE_END_BYTES = 2;

    private static final int SHORTEST_LINE_BYTES = 4;

    /** A body is collected in a buffer that grows by doubling, and is copied once to be sent. */
    private static final int BODY_COPIES = 2;

    private HeldMemory() {}

    /** Returns the memory of a head of some bytes on the wire in some lines. */
    static long ofHead(long bytes, long lines) {
        return REQUEST_BYTES + 2 * bytes + HEADER_LINE_BYTES * lines;
    }

    /** Returns the memory of bytes that may be header lines, of which the shortest have four bytes. */
    static long ofUnparsed(long bytes) {
        return bytes * HEADER_LINE_BYTES / SHORTEST_LINE_BYTES;
    }

    /** Returns the number of bytes that a chunk, the last one included, has on the wire besides its content. */
    static int framingBytes(int contentBytes) {
        return Integer.toHexString(contentBytes).length() + 2 * LINE_END_BYTES;
    }

    /** Returns the memory of parsed header lines or trailers. */
    static long ofHeaders(HttpHeaders headers) {
        return 2 * wireBytes(headers) + (long) HEADER_LINE_BYTES * headers.size();
    }

    /** Returns the least number of bytes that a parsed head had on the wire. */
    static long wireBytes(HttpRequest request) {
        return request.uri().length() + wireBytes(request.headers());
    }

    private static long wireBytes(HttpHeaders headers) {
        long bytes = (long) SHORTEST_LINE_BYTES * headers.size();
        for (Iterator<Map.Entry<CharSequence, CharSequence>> lines = headers.iteratorCharSequence();
                lines.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> line = lines.next();
            bytes += line.getKey().length() + line.getValue().length();
        }
        return bytes;
    }

    /** Returns the memory of a parsed head whose bytes have not been measured. */
    static long ofParsedHead(HttpRequest request) {
        return ofHead(wireBytes(request), request.headers().size());
    }

    /** Returns the memory of bytes of a body. */
    static long ofBody(long bytes) {
        return BODY_COPIES * bytes;
    }
}
