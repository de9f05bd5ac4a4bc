package dev.lavenderline.emulator;

import java.util.Arrays;

/**
 * Approximate upper bound of the batch items that any scheduler can complete in time.
 *
 * <p>A relaxation: the slots that online requests left are one pool, an item can be spread over them without cost, and
 * of its times only the size counts, not when it arrives or is due. The shortest items then fill the pool best.
 * Online requests count from grant to release, so that their waits in the queues of engines make the pool too small.
 */
final class Bound {
    private Bound() {}

    /** Returns the bound for the online load of a run. */
    static int itemsInTime(LoadPattern pattern, Draws draws, Outcome outcome) {
        double lastDueMillis =
                draws.items().stream().mapToDouble(Draws.Item::dueMillis).max().orElse(0);
        double endMillis = Math.min(lastDueMillis, 1000 * (pattern.durationSeconds() + pattern.drainSeconds()));
        double slotMillis = Math.max(0, pattern.slots() * endMillis - outcome.onlineSlotMillis);
        double[] runMillis = draws.items().stream()
                .mapToDouble(item -> item.outputTokens() * pattern.engines().stepMillis()
                        + pattern.batch().promptTokens() / pattern.engines().prefillTokensPerMilli())
                .map(millis -> millis / (1 + pattern.engines().speedSpread()))
                .toArray();
        Arrays.sort(runMillis);
        int items = 0;
        while (items < runMillis.length && runMillis[items] <= slotMillis) {
            slotMillis -= runMillis[items];
            items++;
        }
        return items;
    }
}
