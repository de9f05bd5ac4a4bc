package dev.lavenderline.core.response;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the head of a second response within the body of a response. By HTTP it is a part of the body if the upstream
 * writes it before the body's end.
 *
 * <p>Invariants: bytes are passed on in order and unchanged, all but a head that belongs to a second response and what
 * follows it; at most {@link #MAX_HEAD_BYTES} and the last chunk are held back, only while they may be such a head. Not
 * thread-safe.
 */
public final class EmbeddedResponseDetector {
    /** Size of a head, in bytes, above which it is not recognized; those of upstreams have a few hundred. */
    static final int MAX_HEAD_BYTES = 4096;

    private static final String START = "HTTP/1.";

    /** Status line and header fields (RFC 9112, sections 4 and 5), at most 64 fields. */
    private static final String LINES =
            "HTTP/1\\.[01] (\\d{3})(?: ([^\\r\\n]*+))?\\r\\n((?:[\\w!#$%&'*+.^`|~-]++:[^\\r\\n]*+\\r\\n){0,64})";

    private static final Pattern HEAD = Pattern.compile(LINES + "\\r\\n");

    /** The complete lines of a head that goes on. */
    private static final Pattern START_OF_HEAD = Pattern.compile(LINES);

    private final SecondResponse secondResponse;
    private Buffer held = Buffer.buffer();
    private boolean found;

    /** Decides whether a head belongs to a second response, rather than to the content of the body. */
    @FunctionalInterface
    public interface SecondResponse {
        /** Returns whether the head is that of a second response. */
        boolean matches(int status, String reasonPhrase, MultiMap headers);
    }

    /** Creates a detector for the body of one response. */
    public EmbeddedResponseDetector(SecondResponse secondResponse) {
        this.secondResponse = secondResponse;
    }

    /** Takes further bytes of the body and returns those that may be passed on. */
    public Buffer feed(Buffer chunk) {
        if (found) {
            return Buffer.buffer();
        }
        Buffer bytes = held.length() == 0 ? chunk : held.appendBuffer(chunk);
        held = Buffer.buffer();
        for (int at = 0; at < bytes.length(); at++) {
            if (!mayStartHead(bytes, at)) {
                continue;
            }
            String text = bytes.getString(
                    at, Math.min(bytes.length(), at + MAX_HEAD_BYTES), StandardCharsets.ISO_8859_1.name());
            Matcher head = HEAD.matcher(text);
            boolean whole = head.lookingAt();
            if (!whole && head.hitEnd()) {
                if (text.length() < MAX_HEAD_BYTES) {
                    held = bytes.getBuffer(at, bytes.length());
                    return bytes.getBuffer(0, at);
                }
                continue;
            }
            // The empty line of a head may have been taken for the end of a chunk.
            Matcher lines = whole ? head : START_OF_HEAD.matcher(text);
            if (lines.lookingAt() && isSecondResponse(lines)) {
                found = true;
                return bytes.getBuffer(0, at);
            }
        }
        return bytes;
    }

    private boolean isSecondResponse(Matcher lines) {
        return secondResponse.matches(
                Integer.parseInt(lines.group(1)),
                Objects.requireNonNullElse(lines.group(2), ""),
                fields(lines.group(3)));
    }

    private static boolean mayStartHead(Buffer bytes, int at) {
        int length = Math.min(START.length(), bytes.length() - at);
        for (int i = 0; i < length; i++) {
            if (bytes.getByte(at + i) != START.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private static MultiMap fields(String lines) {
        MultiMap fields = MultiMap.caseInsensitiveMultiMap();
        lines.lines().forEach(line -> {
            int colon = line.indexOf(':');
            fields.add(line.substring(0, colon), line.substring(colon + 1).trim());
        });
        return fields;
    }

    /** Returns whether a second response has been found. */
    public boolean found() {
        return found;
    }

    /** Returns whether the bytes held back show, as far as they go, that they begin a second response. */
    public boolean endsWithinSecondResponse() {
        Matcher lines = START_OF_HEAD.matcher(held.toString(StandardCharsets.ISO_8859_1));
        return lines.lookingAt() && isSecondResponse(lines);
    }

    /**
     * Returns the bytes held back, which may be the start of a second response's head. They belong to the body if it
     * ends here and nothing follows it on the connection; bytes that follow are the rest of that head.
     */
    public Buffer remainder() {
        return held;
    }
}
