package dev.lavenderline.core.overload;

import io.netty.buffer.ByteBuf;

/**
 * Measures the head of a request while it arrives, before it is parsed: a parser makes an object of each line, however
 * short.
 *
 * <p>Not thread-safe.
 */
final class HeadScanner {
    private long firstLineBytes;
    private long headerBytes;
    private long lines;
    private int lineLength;
    private boolean ended;

    /** Measures what follows of the head; returns the number of bytes that belong to it. */
    int feed(ByteBuf bytes) {
        int start = bytes.readerIndex();
        int i = start;
        while (i < bytes.writerIndex() && !ended) {
            feed(bytes.getByte(i));
            i++;
        }
        return i - start;
    }

    private void feed(byte next) {
        if (lines == 0) {
            firstLineBytes++;
        } else {
            headerBytes++;
        }
        if (next == '\r') {
            return;
        }
        if (next != '\n') {
            lineLength++;
            return;
        }
        // Parsers skip empty lines before a request.
        if (lineLength > 0) {
            lines++;
            lineLength = 0;
        } else if (lines > 0) {
            ended = true;
        }
    }

    /** Returns whether the head, or what may be its start, has begun. */
    boolean begun() {
        return firstLineBytes > 0;
    }

    long firstLineBytes() {
        return firstLineBytes;
    }

    long headerBytes() {
        return headerBytes;
    }

    /** Returns the memory that the parsed head takes, or will take. */
    long heldBytes() {
        return begun() ? HeldMemory.ofHead(firstLineBytes + headerBytes, lines) : 0;
    }

    void reset() {
        firstLineBytes = 0;
        headerBytes = 0;
        lines = 0;
        lineLength = 0;
        ended = false;
    }
}
