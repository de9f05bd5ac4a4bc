package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against blaming the wrong part of a prompt, or none, for the crashes of engines. */
class CrashingPromptsTest {
    private static final long SYSTEM = 1;
    private static final long SUBJECT = 2;
    private static final long CRASHING = 666;

    private final ManualTime time = new ManualTime();
    private final CrashingPrompts prompts = new CrashingPrompts(time, EventLog.NONE);
    private final List<Set<Long>> decisions = new ArrayList<>();

    CrashingPromptsTest() {
        prompts.onDecision(decisions::add);
    }

    private void crash(String upstream, Long... parts) {
        prompts.crashed(RequestTraits.ofParts(List.of(parts)), upstream, Duration.ZERO);
        time.advance(Duration.ofMillis(200));
    }

    private boolean rejects(Long... parts) {
        return prompts.rejectedFor(RequestTraits.ofParts(List.of(parts))).isPresent();
    }

    @Test
    void partWithoutCompletionsIsRejectedAfterThreeCrashes() {
        prompts.completed(RequestTraits.ofParts(List.of(SYSTEM, SUBJECT)));
        crash("e1", SYSTEM, CRASHING);
        crash("e2", SYSTEM, CRASHING);
        assertFalse(rejects(SYSTEM, CRASHING));
        crash("e3", SYSTEM, CRASHING);
        assertTrue(rejects(SYSTEM, CRASHING));
        assertTrue(rejects(SUBJECT, CRASHING));
        assertFalse(rejects(SYSTEM, SUBJECT));
        assertEquals(List.of(Set.of(CRASHING)), decisions);
    }

    @Test
    void victimsOfOneCrashCountOnce() {
        for (int i = 0; i < 5; i++) {
            prompts.crashed(RequestTraits.ofParts(List.of(SYSTEM, CRASHING)), "e1", Duration.ZERO);
        }
        assertFalse(rejects(SYSTEM, CRASHING));
    }

    /** An engine may start again under its id. */
    @Test
    void engineThatCrashesAgainUnderItsIdCountsAgain() {
        for (int i = 0; i < 3; i++) {
            crash("e1", CRASHING);
            time.advance(Duration.ofSeconds(2));
        }
        assertTrue(rejects(CRASHING));
    }

    @Test
    void completionEndsSuspicion() {
        crash("e1", SUBJECT);
        crash("e2", SUBJECT);
        prompts.completed(RequestTraits.ofParts(List.of(SUBJECT)));
        crash("e3", SUBJECT);
        time.advance(CrashingPrompts.COMPLETION_MEMORY);
        crash("e4", SUBJECT);
        assertFalse(rejects(SUBJECT));
        crash("e5", SUBJECT);
        assertTrue(rejects(SUBJECT));
    }

    /** Sound requests may share all other parts of those that crash engines. */
    @Test
    void partsThatAlwaysOccurTogetherAreRejectedTogetherOnly() {
        for (String engine : List.of("e1", "e2", "e3")) {
            crash(engine, SYSTEM, SUBJECT, CRASHING);
        }
        assertTrue(rejects(SYSTEM, SUBJECT, CRASHING));
        assertFalse(rejects(SYSTEM, SUBJECT));
        prompts.completed(RequestTraits.ofParts(List.of(SYSTEM, SUBJECT)));
        crash("e4", 3L, CRASHING);
        assertTrue(rejects(4L, CRASHING));
        assertFalse(rejects(SYSTEM, SUBJECT));
    }

    /** Guards against records of rejected parts that are too long for the store. */
    @Test
    void rejectedSetIsBounded() {
        Long[] parts = LongStream.range(0, 64).boxed().toArray(Long[]::new);
        for (String engine : List.of("e1", "e2", "e3")) {
            crash(engine, parts);
        }
        assertEquals(CrashingPrompts.MAX_REJECTED_PARTS, decisions.get(0).size());
        assertTrue(rejects(parts));
    }

    @Test
    void completedRequestWithdrawsRejection() {
        List<Set<Long>> withdrawn = new ArrayList<>();
        prompts.onWithdrawal(withdrawn::add);
        for (String engine : List.of("e1", "e2", "e3")) {
            crash(engine, SUBJECT);
        }
        prompts.completed(RequestTraits.ofParts(List.of(SYSTEM, SUBJECT)));
        assertFalse(rejects(SUBJECT));
        assertEquals(List.of(Set.of(SUBJECT)), withdrawn);
    }

    @Test
    void rejectionEndsAfterItsPeriod() {
        prompts.reject(Set.of(CRASHING));
        time.advance(CrashingPrompts.REJECTION_PERIOD.minusSeconds(1));
        assertTrue(rejects(CRASHING));
        assertEquals(List.of(), prompts.expire());
        time.advance(Duration.ofSeconds(1));
        assertFalse(rejects(CRASHING));
        assertEquals(List.of(Set.of(CRASHING)), prompts.expire());
    }

    /** A new scheduler learns of earlier crashes late, and from several nodes. */
    @Test
    void crashReportedLateAndTwiceCountsOnce() {
        prompts.crashed(RequestTraits.ofParts(List.of(CRASHING)), "e1", Duration.ofSeconds(5));
        time.advance(Duration.ofSeconds(3));
        prompts.crashed(RequestTraits.ofParts(List.of(CRASHING)), "e1", Duration.ofSeconds(8));
        crash("e2", CRASHING);
        assertFalse(rejects(CRASHING));
        crash("e3", CRASHING);
        assertTrue(rejects(CRASHING));
    }

    private static RequestTraits request(long hash) {
        return new RequestTraits(List.of(SYSTEM), () -> hash);
    }

    private void crashUnder(String upstream, long hash) {
        prompts.crashed(request(hash), upstream, Duration.ZERO);
        time.advance(Duration.ofMillis(200));
    }

    @Test
    void requestThatComesAgainIsRejectedAfterThreeCrashes() {
        prompts.completed(request(1000));
        crashUnder("e1", CRASHING);
        crashUnder("e2", CRASHING);
        assertTrue(prompts.rejectedFor(request(CRASHING)).isEmpty());
        crashUnder("e3", CRASHING);
        assertTrue(prompts.rejectedFor(request(CRASHING)).isPresent());
        assertTrue(prompts.rejectedFor(request(1001)).isEmpty());
        assertEquals(List.of(Set.of(CRASHING)), decisions);
    }

    /** Callers may send equal requests often, so that one of them is in progress at each crash. */
    @Test
    void equalRequestsThatCompleteBetweenCrashesAreServed() {
        for (int i = 0; i < 5; i++) {
            crashUnder("e" + i, 1000);
            assertTrue(prompts.completed(request(1000)), "the scheduler has to know");
        }
        assertTrue(prompts.rejectedFor(request(1000)).isEmpty());
    }

    @Test
    void requestThatCompletesAfterAllIsServedAgain() {
        for (int i = 0; i < 3; i++) {
            crashUnder("e" + i, 1000);
        }
        assertTrue(prompts.rejectedFor(request(1000)).isPresent());
        prompts.completed(request(1000));
        assertTrue(prompts.rejectedFor(request(1000)).isEmpty());
    }

    /** The completions of all requests would drown the few that matter. */
    @Test
    void completionIsReportedOnlyAfterACrash() {
        assertTrue(prompts.completed(request(1000)), "parts");
        assertFalse(prompts.completed(request(1000)));
        prompts.suspect(1000);
        assertTrue(prompts.completed(request(1000)));
    }
}
