package dev.lavenderline.core.overload;

import dev.lavenderline.core.Ticker;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;

/**
 * The account of what callers make a process hold. There is one for each process; all its listeners charge it.
 *
 * <p>Invariants: the sum of what holders are charged is the charged total; a charge is made before the memory is held
 * and ends with its holder at the latest. Not thread-safe; confined to the event loop.
 */
public final class HoldingAccount {
    private final ProcessLimits limits;
    private final Ticker ticker;
    private final RefusalListener listener;
    private final Set<Holder> holders = new LinkedHashSet<>();
    private long held;
    private long heldByLarge;

    /** Returns an account without bounds. */
    public static HoldingAccount unbounded(Ticker ticker) {
        return new HoldingAccount(ProcessLimits.unbounded(), ticker, (name, reason, peer, bytes) -> {});
    }

    /** A part of the process that holds memory for one connection. */
    abstract static class Holder {
        private long charged;

        final long charged() {
            return charged;
        }

        /** Returns what is held, for the decision on who has to give up its room. */
        abstract Holding holding(long nowNanos);

        /** Gives up the holding, whose charge ends at once. */
        abstract void giveUp(RefusalReason reason);
    }

    public HoldingAccount(ProcessLimits limits, Ticker ticker, RefusalListener listener) {
        this.limits = limits;
        this.ticker = ticker;
        this.listener = listener;
    }

    public ProcessLimits limits() {
        return limits;
    }

    /** Returns the memory that is held, in bytes. */
    public long heldBytes() {
        return held;
    }

    /** Returns the number of holders. */
    public int holders() {
        return holders.size();
    }

    long nanos() {
        return ticker.nanos();
    }

    RefusalListener listener() {
        return listener;
    }

    void add(Holder holder) {
        holders.add(holder);
    }

    /** Ends the charge of a holder. */
    void remove(Holder holder) {
        set(holder, 0);
        holders.remove(holder);
    }

    /** Lowers a charge, or raises it by what can't be refused any more. */
    void set(Holder holder, long bytes) {
        held += bytes - holder.charged;
        heldByLarge += largeBytes(bytes) - largeBytes(holder.charged);
        holder.charged = bytes;
    }

    private static long largeBytes(long bytes) {
        return OverloadPolicy.isLarge(bytes) ? bytes : 0;
    }

    /** Raises a charge if there is, or others can make, room; returns false if the holder has to give up instead. */
    boolean raise(Holder holder, long bytes) {
        while (!fits(holder, bytes)) {
            List<Holder> all = new ArrayList<>(holders);
            long now = ticker.nanos();
            List<Holding> holdings = new ArrayList<>(all.size());
            for (Holder each : all) {
                Holding holding = each.holding(now);
                holdings.add(each == holder ? new Holding(bytes, holding.stage(), holding.sinceProgress()) : holding);
            }
            OptionalInt chosen = OverloadPolicy.closeForMemory(holdings, all.indexOf(holder));
            if (chosen.isEmpty()) {
                return false;
            }
            all.get(chosen.getAsInt()).giveUp(RefusalReason.MEMORY);
        }
        set(holder, bytes);
        return true;
    }

    private boolean fits(Holder holder, long bytes) {
        return OverloadPolicy.fits(
                limits.heldBytes(),
                held + bytes - holder.charged,
                heldByLarge + largeBytes(bytes) - largeBytes(holder.charged),
                bytes);
    }
}
