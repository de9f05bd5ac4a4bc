package dev.lavenderline.core.admission;

/** Sequences of an engine that batch never uses, so that an online request finds one at once. */
final class Headroom {
    private static final int SEQUENCES_PER_UNIT = 16;

    private Headroom() {}

    static int of(int maxConcurrent) {
        return maxConcurrent <= 1 ? 0 : (maxConcurrent + SEQUENCES_PER_UNIT - 1) / SEQUENCES_PER_UNIT;
    }
}
