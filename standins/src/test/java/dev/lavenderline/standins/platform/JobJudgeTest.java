package dev.lavenderline.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.standins.platform.EngineRun.End;
import dev.lavenderline.standins.platform.JobJudge.Rule;
import dev.lavenderline.standins.platform.JobJudge.Violation;
import dev.lavenderline.standins.platform.JobRecord.Item;
import dev.lavenderline.standins.platform.JobRecord.Listing;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a judge that lets broken rules of batch jobs pass. */
class JobJudgeTest {
    private static final int ATTEMPTS = 2;
    private static final String ITEM = "0000a";

    private final History history = new History();
    private final JobRecord job = new JobRecord("job", List.of(new Item(ITEM, 3)));

    private void run(String item, String stamp, String version, int firstEvent, double began, int status, End end) {
        EngineRun run = new EngineRun(item, "i-1", version, stamp, "connection", firstEvent, began);
        run.answering(status, new byte[0], 3);
        run.ended(end, began + 1);
        history.add(run);
    }

    private void listed(int position, String state, String output) {
        job.listed(position, new Listing(ITEM, state, output), "node");
    }

    private List<Rule> brokenRules() {
        return new JobJudge(history, ATTEMPTS, time -> true)
                .judge(job).stream().map(Violation::rule).toList();
    }

    private static String lines(String... stamps) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < stamps.length; i++) {
            text.append(i == 0 ? "" : "\n").append(ITEM + "." + (i + 1) + "." + stamps[i]);
        }
        return text.toString();
    }

    @Test
    void wholeOutputBreaksNoRule() {
        job.submitted(202, 1);
        run(ITEM, "s1", "v1", 1, 1, 200, End.BROKEN);
        run(ITEM, "s2", "v1", 3, 2, 200, End.COMPLETE);
        listed(0, "completed", lines("s1", "s1", "s2"));
        assertEquals(List.of(), brokenRules());
    }

    @Test
    void missingItem() {
        job.submitted(202, 1);
        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    @Test
    void outputWithoutItsLastEvent() {
        job.submitted(202, 1);
        run(ITEM, "s1", "v1", 1, 1, 200, End.BROKEN);
        listed(0, "completed", lines("s1", "s1"));
        assertEquals(List.of(Rule.MIXED), brokenRules());
    }

    @Test
    void endOfItsEngineBehindAnEventCanNotBeTold() {
        job.submitted(202, 1);
        run(ITEM, "s1", "v1", 1, 1, 200, End.BROKEN);
        run(ITEM, "s2", "v1", 3, 2, 200, End.EARLY);
        listed(0, "completed", lines("s1", "s1"));
        assertEquals(List.of(), brokenRules());
    }

    @Test
    void outputWithoutAnyEvent() {
        job.submitted(202, 1);
        run(ITEM, "s1", "v1", 1, 1, 200, End.EARLY);
        listed(0, "completed", "");
        assertEquals(List.of(Rule.MIXED), brokenRules());
    }

    @Test
    void outputOfAnotherRun() {
        job.submitted(202, 1);
        run(ITEM, "s1", "v1", 1, 1, 200, End.COMPLETE);
        listed(0, "completed", lines("s1", "s9", "s1"));
        assertEquals(List.of(Rule.MIXED), brokenRules());
    }

    @Test
    void eventTwice() {
        job.submitted(202, 1);
        run(ITEM, "s1", "v1", 1, 1, 200, End.COMPLETE);
        listed(0, "completed", lines("s1", "s1").replace(".2.", ".1."));
        assertEquals(List.of(Rule.ORDER), brokenRules());
    }

    @Test
    void runsThatDoNotContinueEachOther() {
        job.submitted(202, 1);
        run(ITEM, "s1", "v1", 1, 1, 200, End.BROKEN);
        run(ITEM, "s2", "v1", 1, 2, 200, End.COMPLETE);
        listed(0, "completed", lines("s1", "s1", "s2"));
        assertEquals(List.of(Rule.ORDER), brokenRules());
    }

    @Test
    void runsOfTwoVersions() {
        job.submitted(202, 1);
        run(ITEM, "s1", "v1", 1, 1, 200, End.BROKEN);
        run(ITEM, "s2", "v2", 3, 2, 200, End.COMPLETE);
        listed(0, "completed", lines("s1", "s1", "s2"));
        assertEquals(List.of(Rule.ORDER), brokenRules());
    }

    @Test
    void itemGivenUpTooEarly() {
        job.submitted(202, 1);
        run(ITEM, "s1", "v1", 1, 1, 500, End.COMPLETE);
        listed(0, "dead_lettered", "");
        assertEquals(List.of(Rule.MIXED), brokenRules());
    }

    @Test
    void itemAtTwoPositions() {
        job.submitted(202, 1);
        run(ITEM, "s1", "v1", 1, 1, 200, End.COMPLETE);
        listed(0, "completed", lines("s1", "s1", "s1"));
        listed(1, "completed", lines("s1", "s1", "s1"));
        assertEquals(List.of(Rule.TWICE), brokenRules());
    }

    @Test
    void positionThatHoldsAnotherResult() {
        job.submitted(202, 1);
        run(ITEM, "s1", "v1", 1, 1, 200, End.COMPLETE);
        listed(0, "completed", lines("s1", "s1", "s1"));
        listed(0, "dead_lettered", "");
        assertEquals(List.of(Rule.TWICE), brokenRules());
    }

    @Test
    void runOfJobThatWasRefused() {
        job.submitted(503, 1);
        job.submitted(429, 2);
        run(ITEM, "s1", "v1", 1, 3, 200, End.COMPLETE);
        assertEquals(List.of(Rule.REFUSED), brokenRules());
    }

    @Test
    void runAfterTheEndWasAcknowledged() {
        job.submitted(202, 1);
        job.endAsked();
        job.endAcknowledged(2);
        run(ITEM, "s1", "v1", 1, 4.9, 200, End.COMPLETE);
        assertEquals(List.of(), brokenRules());
        run(ITEM, "s2", "v1", 1, 5.1, 200, End.COMPLETE);
        assertEquals(List.of(Rule.UNASKED), brokenRules());
    }

    @Test
    void itemThatFailsAtEachRunBeginsAgainAfterItsBudget() {
        JobRecord failing = new JobRecord("job", List.of(new Item("f500a", 3)));
        for (int i = 0; i < 3 * ATTEMPTS + 1; i++) {
            run("f500a", "s" + i, "v1", 1, i, 500, End.COMPLETE);
        }
        assertEquals(
                List.of(Rule.BUDGET),
                new JobJudge(history, ATTEMPTS, time -> true)
                        .judge(failing).stream().map(Violation::rule).toList());
    }
}
