package dev.lavenderline.core.response;

import java.nio.charset.StandardCharsets;

/** Names of HTTP fields (RFC 9110, section 5.1). Thread-safe. */
final class FieldNames {
    private static final String SYMBOLS = "!#$%&'*+-.^_`|~";

    private FieldNames() {}

    /** Returns whether a name is a token; that of a joined line is not. */
    static boolean isToken(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        return isToken(bytes, 0, bytes.length);
    }

    /** Returns whether a part of a line is a token. */
    static boolean isToken(byte[] line, int start, int length) {
        for (int i = start; i < start + length; i++) {
            byte c = line[i];
            boolean letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
            boolean digit = c >= '0' && c <= '9';
            if (!letter && !digit && SYMBOLS.indexOf(c) < 0) {
                return false;
            }
        }
        return length > 0;
    }
}
