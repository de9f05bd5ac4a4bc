package dev.lavenderline.standins.platform;

import dev.lavenderline.standins.platform.AnswerPlan.Ending;
import dev.lavenderline.standins.platform.AnswerPlan.Framing;
import java.time.Duration;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Derives the plan of each answer from a seed, so that a request meets the same faults in each run of a seed.
 *
 * @param seed seed of all choices
 * @param places places of second answers, each as likely as the others
 * @param stutterShare share of answers, 0 to 1, that are sent twice
 * @param breakShare share of answers that are reset or end early
 * @param failureShare share of requests that the engine fails with 500
 * @param unframedShare share of answers that end with their connection
 */
public record FaultPlan(
        long seed,
        List<SecondAnswer> places,
        double stutterShare,
        double breakShare,
        double failureShare,
        double unframedShare) {
    private static final int FAILURE_STATUS = 500;
    private static final int MAX_DELAY_MS = 300;
    private static final double LENGTH_SHARE = 0.2;

    public FaultPlan {
        places = List.copyOf(places);
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
        return new AnswerPlan(
                framing,
                ending,
                random.nextDouble(),
                random.nextDouble() < failureShare ? FAILURE_STATUS : 0,
                second,
                random.nextDouble() < 0.7,
                Duration.ofMillis(random.nextInt(MAX_DELAY_MS)));
    }
}
