package dev.lavenderline.core.overload;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a connection has received of requests whose responses are not complete, and the memory that this takes. Bytes
 * are measured before they are parsed: those of a head line by line, and those that turn out to be neither a head nor
 * a body as if they were header lines of the shortest kind, since they may be trailers or the begin of another head.
 *
 * <p>Not thread-safe; confined to the event loop of the channel.
 */
final class ReceivedRequests {
    private final HeadScanner head = new HeadScanner();
    private final Deque<Request> requests = new ArrayDeque<>();

    /** Whether the next byte belongs to a head, as far as the codec has parsed. */
    private boolean awaitingHead = true;

    /** Whether the body of the newest request is sent in chunks. */
    private boolean chunked;

    /** Whether a part of a request has been parsed in the read in progress. */
    private boolean parsed;

    /** Bytes of the read in progress that have not turned out to be a part of a request. */
    private long unassignedBytes;

    /** Bytes since the last parsed part of a request. */
    private long unparsedBytes;

    /** A request from the end of its head until its response is complete. */
    private static final class Request {
        private long heldBytes;
        private boolean complete;

        Request(long heldBytes) {
            this.heldBytes = heldBytes;
        }
    }

    /** Measures bytes that are about to be parsed. */
    void beginRead(ByteBuf bytes) {
        parsed = false;
        unassignedBytes = bytes.readableBytes();
        if (awaitingHead) {
            unassignedBytes -= head.feed(bytes);
        }
    }

    /** Notes that the bytes have been parsed as far as they can be. */
    void endRead() {
        unparsedBytes = unassignedBytes + (parsed ? 0 : unparsedBytes);
    }

    private void parsedPart(long wireBytes) {
        parsed = true;
        unparsedBytes = 0;
        unassignedBytes = Math.max(0, unassignedBytes - wireBytes);
    }

    void headParsed(HttpRequest request) {
        if (head.begun()) {
            parsedPart(0);
            requests.add(new Request(head.heldBytes()));
            head.reset();
        } else {
            // Its begin stood behind another request.
            parsedPart(HeldMemory.wireBytes(request));
            requests.add(new Request(HeldMemory.ofParsedHead(request)));
        }
        chunked = HttpUtil.isTransferEncodingChunked(request);
        awaitingHead = false;
    }

    /** Adds a part of a body, which is not complete before {@link #contentCharged}. */
    void contentParsed(HttpContent content) {
        int bytes = content.content().readableBytes();
        parsedPart(bytes + (chunked ? HeldMemory.framingBytes(bytes) : 0));
        Request newest = requests.peekLast();
        if (newest == null || newest.complete) {
            // The response was complete before the request, whose rest is dropped.
            return;
        }
        newest.heldBytes += HeldMemory.ofBody(bytes);
        if (content instanceof LastHttpContent last) {
            newest.heldBytes += HeldMemory.ofHeaders(last.trailingHeaders());
        }
    }

    void contentCharged(HttpContent content) {
        awaitingHead = content instanceof LastHttpContent;
        Request newest = requests.peekLast();
        if (newest != null) {
            newest.complete |= awaitingHead;
        }
    }

    /** Adds memory that the program takes for the oldest request; returns whether there is one. */
    boolean add(long bytes) {
        Request oldest = requests.peek();
        if (oldest != null) {
            oldest.heldBytes += bytes;
        }
        return oldest != null;
    }

    void responseEnded() {
        requests.poll();
    }

    void clear() {
        requests.clear();
        head.reset();
        unparsedBytes = 0;
    }

    /** Returns the number of requests whose head has been parsed. */
    int size() {
        return requests.size();
    }

    long heldBytes() {
        long bytes = HeldMemory.ofUnparsed(unparsedBytes) + (awaitingHead ? head.heldBytes() : 0);
        for (Request request : requests) {
            bytes += request.heldBytes;
        }
        return bytes;
    }

    /** Returns whether nothing of a request has been received. */
    boolean isIdle() {
        return requests.isEmpty() && awaitingHead && !head.begun();
    }

    /** Returns whether all that has been received belongs to one request, which is not complete. */
    boolean isReceiving() {
        return requests.isEmpty() ? !isIdle() : requests.size() == 1 && !requests.peek().complete;
    }

    /** Returns whether the head of a request has begun and not ended. */
    boolean isWithinHead() {
        return awaitingHead && head.begun();
    }

    /** Returns whether the program has answered a request that is still being received. */
    boolean answeredEarly() {
        return requests.isEmpty() && !awaitingHead;
    }

    /** Returns whether the request line, and the header lines together, have at most a number of bytes. */
    boolean isHeadWithin(int maxBytes) {
        return head.firstLineBytes() <= maxBytes && head.headerBytes() <= maxBytes;
    }
}
