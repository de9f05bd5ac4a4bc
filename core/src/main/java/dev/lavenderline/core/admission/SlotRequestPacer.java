package dev.lavenderline.core.admission;

import dev.lavenderline.proto.peer.SlotRequest;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides when to resend a slot request: at once if the wanted number changed, 100 ms after the last one if only the
 * held number changed, and every 400 ms while slots are wanted. Requests are valid for 1 s at the controller.
 */
final class SlotRequestPacer {
    private static final long HELD_CHANGE_DELAY_NANOS = 100_000_000L;
    private static final long RENEWAL_NANOS = 400_000_000L;

    private final Map<String, Sent> lastSent = new HashMap<>();

    boolean due(SlotRequest request, long nowNanos) {
        Sent last = lastSent.get(request.getUpstream());
        if (last == null) {
            return request.getWanted() > 0;
        }
        if (request.getWanted() != last.wanted) {
            return true;
        }
        long age = nowNanos - last.nanos;
        if (request.getHeld() != last.held && age >= HELD_CHANGE_DELAY_NANOS) {
            return true;
        }
        return request.getWanted() > 0 && age >= RENEWAL_NANOS;
    }

    void sent(SlotRequest request, long nowNanos) {
        if (request.getWanted() == 0 && request.getHeld() == 0) {
            lastSent.remove(request.getUpstream());
        } else {
            lastSent.put(request.getUpstream(), new Sent(request.getWanted(), request.getHeld(), nowNanos));
        }
    }

    /** Returns whether slots were requested and not yet returned. */
    boolean isOpen(String upstream) {
        return lastSent.containsKey(upstream);
    }

    private record Sent(int wanted, int held, long nanos) {}
}
