package dev.lavenderline.core.admission;

/** What one job owner asked of one engine, and what it got. */
final class SlotDemand {
    final String node;
    int wanted;
    int held;
    long deadlineNanos;
    long receivedNanos;
    int granted;
    long sentNanos;

    SlotDemand(String node) {
        this.node = node;
    }
}
