package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import java.util.function.LongPredicate;

/**
 * Numbers the leases of items, apart from those of online requests, which nodes number below bit 62.
 *
 * <p>Nodes go on with leases of their former scheduler, and the monotonic clocks of two hosts may be equal, so a number
 * that the node still holds is skipped. Not thread-safe; confined to the event loop.
 */
final class ItemLeaseNumbers {
    private static final long ITEM_BIT = 1L << 62;
    private static final long CLOCK_BITS = 0x0fff_ffff_ffff_ffffL;

    private long next;

    ItemLeaseNumbers(Ticker ticker) {
        this.next = ITEM_BIT | (ticker.nanos() & CLOCK_BITS);
    }

    /** Returns a number that was not returned before and is not held by the node of the new lease. */
    long next(LongPredicate held) {
        while (held.test(next)) {
            next++;
        }
        return next++;
    }
}
