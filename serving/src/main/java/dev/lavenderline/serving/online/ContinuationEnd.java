package dev.lavenderline.serving.online;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Decides whether a stream is complete when an upstream that was asked to continue it ends its response without an
 * event. A stream may have been cut right behind its last event, so that nothing is left; a faulty upstream's empty
 * response looks the same.
 *
 * <p>Invariant: one upstream alone is believed only after {@link #SOLE_UPSTREAM_RESPONSES} such responses. Not
 * thread-safe.
 */
public final class ContinuationEnd {
    /** Number of empty responses that complete a stream for which no second upstream is found. */
    static final int SOLE_UPSTREAM_RESPONSES = 3;

    private final Map<String, Integer> emptyResponses = new HashMap<>();
    private OptionalLong lastId = OptionalLong.empty();

    /**
     * Records that an upstream ended a continuation in order without an event, and returns whether the stream is
     * complete: two upstreams have said so of the same event, or the only one has repeated it.
     *
     * @param after id of the event behind which the stream was to continue
     */
    public boolean confirmed(String upstream, OptionalLong after) {
        if (!after.equals(lastId)) {
            lastId = after;
            emptyResponses.clear();
        }
        int responses = emptyResponses.merge(upstream, 1, Integer::sum);
        return emptyResponses.size() > 1 || responses >= SOLE_UPSTREAM_RESPONSES;
    }
}
