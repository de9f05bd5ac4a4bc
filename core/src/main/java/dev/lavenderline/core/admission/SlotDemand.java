package dev.lavenderline.core.admission;

/** A job owner's latest slot request to one engine, and the slots granted to it. */
final class SlotDemand {
    final String node;
    int wanted;
    int held;
    long deadlineNanos;
    long receivedNanos;
    int granted;
    long grantSentNanos;

    SlotDemand(String node) {
        this.node = node;
    }
}
