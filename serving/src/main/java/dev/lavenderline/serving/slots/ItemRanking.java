package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import java.util.Optional;

/**
 * Ranks batch items by whether they can complete by their due times.
 *
 * <p>Handles lasting overload, in which more items arrive than engines can run between the crests of online load. In
 * order of due times alone, every item would start as late as possible, be suspended at the next crest and complete
 * just too late.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ItemRanking {
    /**
     * Time that an item should have left when it starts beyond the time it needs, as a multiple of the latter. Online
     * load that swings up to twice its mean suspends an item about as long as it runs.
     */
    private static final double MIN_SPARE_RUNS = 1;

    /** Least time that the rest of an item is taken to need, in seconds. */
    private static final double MIN_REST_SECONDS = 0.1;

    /** Time from the end of a run until callers can read its result, in seconds. */
    private static final double RESULT_RECORDING_SECONDS = 0.3;

    private final Ticker ticker;
    private final ItemProgress progress;
    private final ItemTimeEstimate times;

    /** Ranks, the first of which runs first. */
    enum Rank {
        /** Can complete in time. */
        IN_TIME,
        /** Has not started, and can complete in time only if it is hardly suspended. */
        URGENT,
        /** Can't complete in time. */
        LATE
    }

    ItemRanking(Ticker ticker, ItemProgress progress, ItemTimeEstimate times) {
        this.ticker = ticker;
        this.progress = progress;
        this.times = times;
    }

    Rank rank(BacklogItem item) {
        double left = (item.dueNanos() - ticker.nanos()) / 1e9 - RESULT_RECORDING_SECONDS;
        if (left < 0) {
            return Rank.LATE;
        }
        Optional<ItemProgress.PartialOutput> started = progress.partialOutput(item.item());
        double ran = started.map(output -> output.ranFor().toNanos() / 1e9).orElse(0.0);
        double spareRuns = left / Math.max(MIN_REST_SECONDS, shortestRun(item) - ran) - 1;
        if (spareRuns < 0) {
            return Rank.LATE;
        }
        return spareRuns < MIN_SPARE_RUNS && started.isEmpty() ? Rank.URGENT : Rank.IN_TIME;
    }

    /** Returns the time of a whole run on the fastest service that may run the item, in seconds. */
    private double shortestRun(BacklogItem item) {
        double shortest = Double.POSITIVE_INFINITY;
        for (String service : item.services().keySet()) {
            shortest = Math.min(shortest, times.seconds(service, item.tokens()));
        }
        return shortest;
    }
}
