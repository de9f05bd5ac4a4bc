package dev.lavenderline.core.overload;

import dev.lavenderline.core.overload.Holding.Stage;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;

/**
 * Decides which connection has to give up its room when a process holds all that it may.
 *
 * <p>Large holdings may use only a part of the room, so that a few large or stuck requests can't take the room of
 * ordinary ones. A large holding that grows takes the room of another large one only if that one's peer is silent; an
 * ordinary one takes that of the largest, and if there is none that of the ordinary one whose peer has been silent
 * longest. A request that the process works on is never chosen.
 *
 * <p>Stateless and thread-safe.
 */
public final class OverloadPolicy {
    /** Size up to which a holding is an ordinary one: a prompt of some thousand tokens and its head. */
    static final long ORDINARY_BYTES = 64 << 10;

    /** Quarters of the room that large holdings may use together. */
    private static final int LARGE_QUARTERS = 3;

    /** A peer that was active within this time is given no blame for its connection's wait. */
    static final Duration MIN_SILENCE = Duration.ofSeconds(1);

    /** A client that opens a connection for a request sends that at once. */
    static final Duration MIN_IDLE = Duration.ofMillis(200);

    private OverloadPolicy() {}

    /** Returns whether a holding counts as a large one. */
    static boolean isLarge(long bytes) {
        return bytes > ORDINARY_BYTES;
    }

    /**
     * Returns whether there is room for a holding that grows.
     *
     * @param room bytes that may be held in all
     * @param held bytes held by all, with the growth
     * @param heldByLarge bytes held by large holdings, with the growth
     * @param holding size of the holding, with the growth
     */
    static boolean fits(long room, long held, long heldByLarge, long holding) {
        return held <= room && (!isLarge(holding) || heldByLarge <= room / 4 * LARGE_QUARTERS);
    }

    /**
     * Chooses the connection to close so that a growing holding has room; empty to refuse the growing one.
     *
     * @param holdings all holdings, the growing one included
     * @param growing position of the growing one
     */
    static OptionalInt closeForMemory(List<Holding> holdings, int growing) {
        boolean growingIsLarge = isLarge(holdings.get(growing).bytes());
        int largest = -1;
        int mostSilent = -1;
        for (int i = 0; i < holdings.size(); i++) {
            Holding holding = holdings.get(i);
            if (i == growing || !mayClose(holding)) {
                continue;
            }
            boolean large = isLarge(holding.bytes());
            if (large && (largest < 0 || holding.bytes() > holdings.get(largest).bytes())) {
                largest = i;
            }
            if (large == growingIsLarge
                    && isSilent(holding)
                    && (mostSilent < 0 || isMoreSilent(holding, holdings.get(mostSilent)))) {
                mostSilent = i;
            }
        }
        int chosen = largest >= 0 && !growingIsLarge ? largest : mostSilent;
        return chosen < 0 ? OptionalInt.empty() : OptionalInt.of(chosen);
    }

    /** Chooses the connection to close so that a new one has room; empty to refuse the new one. */
    static OptionalInt closeForConnection(List<Holding> holdings) {
        int mostSilent = -1;
        for (int i = 0; i < holdings.size(); i++) {
            Holding holding = holdings.get(i);
            if (!mayClose(holding) || !isSilent(holding)) {
                continue;
            }
            if (mostSilent < 0 || isMoreSilent(holding, holdings.get(mostSilent))) {
                mostSilent = i;
            }
        }
        return mostSilent < 0 ? OptionalInt.empty() : OptionalInt.of(mostSilent);
    }

    private static boolean mayClose(Holding holding) {
        return holding.stage() != Stage.SERVING && holding.stage() != Stage.CLOSING;
    }

    private static boolean isSilent(Holding holding) {
        Duration least = holding.stage() == Stage.IDLE ? MIN_IDLE : MIN_SILENCE;
        return holding.sinceProgress().compareTo(least) >= 0;
    }

    private static boolean isMoreSilent(Holding holding, Holding other) {
        return holding.sinceProgress().compareTo(other.sinceProgress()) > 0;
    }
}
