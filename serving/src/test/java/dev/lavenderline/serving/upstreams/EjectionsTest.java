package dev.lavenderline.serving.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against upstreams that stay out of use because the event that would end their ejection never happens. */
class EjectionsTest {
    private static final Duration DELAY = Duration.ofMillis(500);
    private static final TrialHolder HOLDER = new TrialHolder("n1", 1);
    private static final TrialHolder OTHER = new TrialHolder("n2", 1);

    private final ManualTime time = new ManualTime();
    private final Ejections ejections = new Ejections(time);

    @BeforeEach
    void eject() {
        ejections.eject("e", DELAY, false);
    }

    private void startTrial(TrialHolder holder) {
        time.advance(DELAY);
        assertTrue(ejections.trialDue("e"));
        ejections.tried("e", holder, false);
    }

    @Test
    void admitsOneTrialAfterTheDelay() {
        assertFalse(ejections.trialDue("e"));
        startTrial(HOLDER);
        assertFalse(ejections.trialDue("e"));
        ejections.succeeded("e");
        assertFalse(ejections.ejected("e"));
    }

    @Test
    void trialEndsWithItsHolderOnly() {
        startTrial(HOLDER);
        ejections.ended("e", OTHER);
        assertFalse(ejections.trialDue("e"));
        ejections.ended("e", HOLDER);
        assertTrue(ejections.trialDue("e"));
    }

    /** The node is killed, or reports the result to another scheduler. */
    @Test
    void trialEndsWithTheNodeOfItsHolder() {
        startTrial(HOLDER);
        ejections.nodeLeft("n2");
        assertFalse(ejections.trialDue("e"));
        ejections.nodeLeft("n1");
        assertTrue(ejections.trialDue("e"));
    }

    /** The node is suspended, or its result is lost. */
    @Test
    void trialEndsAfterItsTime() {
        startTrial(HOLDER);
        time.advance(Ejections.TRIAL_TIMEOUT);
        assertTrue(ejections.trialDue("e"));
        ejections.tried("e", OTHER, false);
        ejections.ended("e", HOLDER);
        assertFalse(ejections.trialDue("e"), "the result of the first trial does not end the second");
    }

    @Test
    void ejectionEndsWithoutAnyFurtherEvent() {
        time.advance(Ejections.MAX_EJECTION);
        assertFalse(ejections.ejected("e"));
    }

    @Test
    void ejectionEndsAlthoughTrialsHaveNoResult() {
        startTrial(HOLDER);
        for (int i = 0; i < 4; i++) {
            time.advance(Ejections.TRIAL_TIMEOUT);
            ejections.tried("e", HOLDER, false);
        }
        assertFalse(ejections.ejected("e"));
    }

    @Test
    void furtherFailureStartsTheTimeAgain() {
        startTrial(HOLDER);
        ejections.eject("e", DELAY, false);
        time.advance(Ejections.MAX_EJECTION.minusMillis(1));
        assertTrue(ejections.ejected("e"));
        time.advance(Duration.ofMillis(1));
        assertFalse(ejections.ejected("e"));
    }

    @Test
    void trialIsOverdueOnlyWhileNobodyHasStartedOne() {
        time.advance(DELAY);
        assertFalse(ejections.trialOverdue("e"));
        time.advance(Ejections.TRIAL_OVERDUE);
        assertTrue(ejections.trialOverdue("e"));
        ejections.tried("e", HOLDER, false);
        assertFalse(ejections.trialOverdue("e"));
    }

    /** Guards against an engine that stays out of use while an item runs there, which takes seconds. */
    @Test
    void trialOfAnItemThatLastsIsPassed() {
        time.advance(DELAY);
        ejections.tried("e", HOLDER, true);
        time.advance(Ejections.TRIAL_TIMEOUT.minusMillis(1));
        assertTrue(ejections.ejected("e"));
        time.advance(Duration.ofMillis(1));
        assertFalse(ejections.ejected("e"));
    }

    @Test
    void trialOfAnItemThatEndsEarlyIsNotPassed() {
        time.advance(DELAY);
        ejections.tried("e", HOLDER, true);
        ejections.nodeLeft(HOLDER.node());
        time.advance(Ejections.TRIAL_TIMEOUT);
        assertTrue(ejections.ejected("e"));
    }

    /** Guards against items that take each trial, although requests, whose results come sooner, would make it. */
    @Test
    void requestsComeBeforeItemsAfterEachTrial() {
        time.advance(DELAY.plus(Ejections.TRIAL_OVERDUE));
        assertTrue(ejections.trialOverdue("e"));
        assertFalse(ejections.itemTrialOverdue("e"));
        time.advance(Ejections.ITEM_TRIAL_OVERDUE.minus(Ejections.TRIAL_OVERDUE));
        assertTrue(ejections.itemTrialOverdue("e"));
        ejections.tried("e", HOLDER, false);
        time.advance(Ejections.TRIAL_TIMEOUT);
        assertTrue(ejections.trialDue("e"));
        assertFalse(ejections.itemTrialOverdue("e"));
    }

    /** Events in any order, with any of them missing: the upstream is in use again once the failures stop. */
    @Test
    void noOrderOfEventsKeepsAnUpstreamOut() {
        for (int seed = 0; seed < 500; seed++) {
            UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
            for (int step = 0; step < 60; step++) {
                TrialHolder holder = new TrialHolder("n" + random.nextInt(3), random.nextInt(3));
                switch (random.nextInt(7)) {
                    case 0 -> ejections.eject("e", DELAY.multipliedBy(1 + random.nextInt(8)), random.nextBoolean());
                    case 1, 2 -> ejections.tried("e", holder, random.nextBoolean());
                    case 3 -> ejections.ended("e", holder);
                    case 4 -> ejections.nodeLeft(holder.node());
                    case 5 -> ejections.succeeded("e");
                    default -> time.advance(Duration.ofMillis(random.nextInt(1500)));
                }
            }
            time.advance(Ejections.MAX_EJECTION);
            assertEquals(false, ejections.ejected("e"), "seed " + seed);
        }
    }
}
