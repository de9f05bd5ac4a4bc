package dev.lavenderline.standins.engine;

import com.google.common.hash.Hashing;
import com.google.common.primitives.Longs;
import java.nio.charset.StandardCharsets;

/**
 * Generates deterministic completion text. Token {@code i} depends only on the prompt and on {@code i}, so that a
 * completion continued on another engine has the same text. No word is a suffix of another one, so that generated
 * tokens at the end of a text are recognized without ambiguity.
 */
final class TokenText {
    private static final String[] WORDS = {
        "anchor",
        "bolt",
        "cable",
        "drive",
        "encoder",
        "fuse",
        "gate",
        "hinge",
        "input",
        "jumper",
        "keypad",
        "latch",
        "motor",
        "notch",
        "output",
        "photocell",
        "quarry",
        "relay",
        "sensor",
        "track",
        "upper",
        "valve",
        "winding",
        "xenon",
        "yoke",
        "zinc",
        "arabic",
        "bridge",
        "coast",
        "dune",
        "estuary",
        "falcon",
        "garden",
        "harbour",
        "island",
        "jasmine",
        "kite",
        "lagoon",
        "market",
        "north",
        "oasis",
        "palm",
        "reef",
        "sunset"
    };

    /** Characters of a prompt that count as one token; the usual estimate for English text. */
    static final int CHARS_PER_TOKEN = 4;

    private TokenText() {}

    static long hash(String prompt) {
        return Hashing.murmur3_128().hashString(prompt, StandardCharsets.UTF_8).asLong();
    }

    /** Returns token {@code index} of the completion; every token ends with a space. */
    static String token(long promptHash, int index) {
        byte[] seed = Longs.toByteArray(promptHash * 31 + index);
        int word = Math.floorMod(Hashing.murmur3_128().hashBytes(seed).asInt(), WORDS.length);
        return WORDS[word] + " ";
    }

    static int promptTokens(String prompt) {
        return Math.max(1, (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN);
    }

    /** Separates the generated tokens at the end of a text from the text before them. */
    static Split splitGenerated(String text) {
        int end = text.length();
        int tokens = 0;
        while (true) {
            int length = lastTokenLength(text, end);
            if (length == 0) {
                return new Split(text.substring(0, end), tokens);
            }
            end -= length;
            tokens++;
        }
    }

    /** Returns the length of the generated token that ends at a position, or 0 if there is none. */
    private static int lastTokenLength(String text, int end) {
        if (end == 0 || text.charAt(end - 1) != ' ') {
            return 0;
        }
        for (String word : WORDS) {
            int start = end - 1 - word.length();
            if (start >= 0 && text.startsWith(word, start)) {
                return word.length() + 1;
            }
        }
        return 0;
    }

    /** A text without the generated tokens at its end, and their number. */
    record Split(String base, int generatedTokens) {}
}
