package dev.lavenderline.standins.platform;

import dev.lavenderline.standins.platform.AnswerPlan.Ending;
import dev.lavenderline.standins.platform.AnswerPlan.Framing;
import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Derives the plan of each answer from a seed, so that a request meets the same faults in each run of a seed.
 *
 * @param seed seed of all choices
 * @param places places of second answers, each as likely as the others
 * @param stutterShare share of answers, 0 to 1, that are sent twice, or stop, at one of the places
 * @param breakShare share of answers that are reset or end early
 * @param failureShare share of requests that the engine fails with 500
 * @param unframedShare share of answers that end with their connection
 * @param unnamedInBodies whether copies within a body of another answer may lack the id of their request; those between
 *     answers may anyway
 */
public record FaultPlan(
        long seed,
        List<SecondAnswer> places,
        double stutterShare,
        double breakShare,
        double failureShare,
        double unframedShare,
        boolean unnamedInBodies) {
    private static final int FAILURE_STATUS = 500;
    private static final int MAX_DELAY_MS = 300;
    private static final double LENGTH_SHARE = 0.2;
    private static final double UNNAMED_SHARE = 0.3;

    /** Places at which a copy becomes a part of another answer's body. */
    private static final Set<SecondAnswer> IN_BODIES =
            EnumSet.of(SecondAnswer.AFTER_NEXT_HEAD, SecondAnswer.IN_NEXT_BODY);

    /** Places that show only if answers of different statuses follow each other. */
    private static final Set<SecondAnswer> NEED_STATUSES =
            EnumSet.of(SecondAnswer.BEHIND_PART_OF_HEAD, SecondAnswer.CUT_BEFORE_NEXT);

    private static final List<Integer> STATUSES = List.of(0, FAILURE_STATUS, AnswerPlan.REJECTED);

    /** Places within chunks. */
    private static final Set<SecondAnswer> NEED_CHUNKS =
            EnumSet.of(SecondAnswer.IN_TRAILERS, SecondAnswer.BEHIND_LAST_SIZE);

    /** Prefixes of the ids of batch items that fail at each run, by the status of the failure. */
    private static final Map<String, Integer> LASTING_FAILURES = Map.of("f500", 500, "f422", 422);

    public FaultPlan {
        places = List.copyOf(places);
    }

    /** Returns the status with which each run of a request fails; 0 if its runs may succeed. */
    public static int lastingFailure(String requestId) {
        return LASTING_FAILURES.getOrDefault(requestId.substring(0, Math.min(4, requestId.length())), 0);
    }

    /** Returns the plan of the answer to a request at an engine. */
    public AnswerPlan answerTo(String requestId, String engine, int exchange) {
        long hash = seed;
        for (char next : (requestId + engine + exchange).toCharArray()) {
            hash = hash * 0x100000001B3L ^ next;
        }
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(hash);
        SecondAnswer second = !places.isEmpty() && random.nextDouble() < stutterShare
                ? places.get(random.nextInt(places.size()))
                : SecondAnswer.NONE;
        Ending ending = random.nextDouble() < breakShare
                ? Ending.values()[1 + random.nextInt(Ending.values().length - 1)]
                : Ending.COMPLETE;
        double framingChoice = random.nextDouble();
        Framing framing = framingChoice < unframedShare
                ? Framing.CONNECTION
                : framingChoice < unframedShare + LENGTH_SHARE ? Framing.LENGTH : Framing.CHUNKS;
        if (second == SecondAnswer.IN_OWN_BODY) {
            framing = Framing.CONNECTION;
        }
        if (second == SecondAnswer.EVENTS_AGAIN && ending == Ending.EARLY_IN_EVENT) {
            // The first line behind half an event completes it, which no receiver can tell from a whole event.
            ending = Ending.EARLY;
        }
        if (second.endsAnswer()) {
            ending = Ending.COMPLETE;
        }
        if (NEED_CHUNKS.contains(second)) {
            framing = Framing.CHUNKS;
        }
        if (second == SecondAnswer.BEHIND_SHORT_BODY && framing == Framing.CONNECTION) {
            framing = Framing.LENGTH;
        }
        double endAfter = random.nextDouble();
        int failure = random.nextDouble() < failureShare ? FAILURE_STATUS : 0;
        if (NEED_STATUSES.contains(second)) {
            failure = STATUSES.get(random.nextInt(STATUSES.size()));
        }
        return new AnswerPlan(
                framing,
                ending,
                endAfter,
                lastingFailure(requestId) > 0 ? lastingFailure(requestId) : failure,
                second,
                random.nextDouble() >= UNNAMED_SHARE || !unnamedInBodies && IN_BODIES.contains(second),
                Duration.ofMillis(random.nextInt(MAX_DELAY_MS)),
                HeadCut.values()[random.nextInt(HeadCut.values().length)],
                random.nextDouble());
    }
}
