package dev.lavenderline.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against heads whose many short lines are counted as bytes only. */
class HeadScannerTest {
    private final HeadScanner scanner = new HeadScanner();

    private void feed(String text) {
        scanner.feed(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    @Test
    void lineOfFourBytesCountsAsObject() {
        feed("GET / HTTP/1.1\r\n" + "a:\r\n".repeat(3000));
        assertEquals(16, scanner.firstLineBytes());
        assertEquals(12_000, scanner.headerBytes());
        assertTrue(scanner.heldBytes() > 1_000_000, () -> "held: " + scanner.heldBytes());
    }

    @Test
    void piecesCountLikeTheWhole() {
        String head = "POST /a HTTP/1.1\nHost: a\r\nContent-Length: 3\r\n\r\n";
        feed(head);
        long whole = scanner.heldBytes();
        scanner.reset();
        assertFalse(scanner.begun());
        head.chars().forEach(next -> feed(String.valueOf((char) next)));
        assertEquals(whole, scanner.heldBytes());
    }

    @Test
    void bytesBehindTheHeadAreNotCounted() {
        feed("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        long held = scanner.heldBytes();
        feed("\n".repeat(1000));
        assertEquals(held, scanner.heldBytes());
    }

    @Test
    void emptyLinesBeforeTheRequestAreNoEnd() {
        feed("\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n");
        assertEquals(9, scanner.headerBytes());
    }
}
