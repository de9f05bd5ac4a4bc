package dev.lavenderline.serving.slots;

import java.util.List;

/**
 * Whether the tokens of a request fit into the memory of an engine beside those that run there.
 *
 * <p>Answers loads of long prompts: slots are free, but an engine that runs out of memory preempts requests in the
 * middle of their streams and reads them again from the start.
 *
 * <p>Stateless and thread-safe.
 */
final class EngineMemory {
    private EngineMemory() {}

    /**
     * Returns whether a request fits.
     *
     * @param capacity tokens that the engine keeps, 0 if that is not known
     * @param running tokens of each request that runs there, 0 for those that are not known
     * @param needed tokens of the request, 0 if they are not known
     */
    static boolean fits(long capacity, List<Integer> running, long needed) {
        if (capacity == 0 || needed == 0 || running.isEmpty()) {
            return true;
        }
        long used = running.stream().mapToLong(Integer::longValue).sum();
        return used + needed <= capacity;
    }

    /** Returns whether a request does not fit even into an idle engine. */
    static boolean tooLarge(long capacity, long needed) {
        return capacity > 0 && needed > capacity;
    }
}
