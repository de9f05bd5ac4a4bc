package dev.lavenderline.core.admission;

import dev.lavenderline.proto.peer.SlotRequest;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a slot request is sent again: at once when the wanted number changed, after 100 ms when the held number
 * changed, and every 400 ms while slots are wanted or held. Requests are valid for 1 s at the controller.
 */
final class SlotRequests {
    private static final long HELD_NANOS = 100_000_000L;
    private static final long RENEW_NANOS = 400_000_000L;

    private final Map<String, Sent> sent = new HashMap<>();

    boolean due(SlotRequest request, long nowNanos) {
        Sent last = sent.get(request.getUpstream());
        if (last == null) {
            return request.getWanted() > 0;
        }
        if (request.getWanted() != last.wanted) {
            return true;
        }
        long age = nowNanos - last.nanos;
        if (request.getHeld() != last.held && age >= HELD_NANOS) {
            return true;
        }
        return request.getWanted() > 0 && age >= RENEW_NANOS;
    }

    void sent(SlotRequest request, long nowNanos) {
        if (request.getWanted() == 0 && request.getHeld() == 0) {
            sent.remove(request.getUpstream());
        } else {
            sent.put(request.getUpstream(), new Sent(request.getWanted(), request.getHeld(), nowNanos));
        }
    }

    /** Returns whether slots were asked for and not given back. */
    boolean open(String upstream) {
        return sent.containsKey(upstream);
    }

    private record Sent(int wanted, int held, long nanos) {}
}
