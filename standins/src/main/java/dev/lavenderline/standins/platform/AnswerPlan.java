package dev.lavenderline.standins.platform;

import java.time.Duration;

/**
 * How an engine answers one request.
 *
 * @param framing what ends the body
 * @param ending how the answer ends
 * @param endAfter share of the answer, 0 to 1, after which an answer that isn't complete ends
 * @param failure status of the answer if the engine fails or, with 503, rejects the request, otherwise 0
 * @param second where the answer is sent again
 * @param secondHasId whether the second copy names its request
 * @param delay time from the answer to its second copy, for places that allow one
 * @param cut where a head is cut, for places that cut one
 * @param cutAt which of the places that {@code cut} allows, 0 to 1
 */
public record AnswerPlan(
        Framing framing,
        Ending ending,
        double endAfter,
        int failure,
        SecondAnswer second,
        boolean secondHasId,
        Duration delay,
        HeadCut cut,
        double cutAt) {
    /** Status with which an engine rejects a request without running it. */
    public static final int REJECTED = 503;

    /** What ends the body of an answer. */
    public enum Framing {
        CHUNKS,
        LENGTH,
        CONNECTION
    }

    /** How an answer ends. */
    public enum Ending {
        COMPLETE,
        /** The connection is reset, between two events. */
        RESET,
        /** The connection is reset within an event. */
        RESET_IN_EVENT,
        /** The answer ends early and looks complete, between two events. */
        EARLY,
        /** The answer ends early and looks complete, within an event. */
        EARLY_IN_EVENT
    }
}
