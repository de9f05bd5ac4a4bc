package dev.lavenderline.core.admission;

/** Sequences of an engine that are reserved for online requests, so that a new one is admitted at once. */
final class Headroom {
    private static final int SEQUENCES_PER_RESERVED = 16;

    private Headroom() {}

    /** Returns one sequence in 16, rounded up; none for an engine with a single sequence. */
    static int of(int maxConcurrent) {
        return maxConcurrent <= 1 ? 0 : (maxConcurrent + SEQUENCES_PER_RESERVED - 1) / SEQUENCES_PER_RESERVED;
    }
}
