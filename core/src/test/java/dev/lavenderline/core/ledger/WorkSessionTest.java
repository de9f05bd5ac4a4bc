package dev.lavenderline.core.ledger;

import static dev.lavenderline.core.ledger.WorkEntries.WORKSPACE;
import static dev.lavenderline.core.ledger.WorkEntries.cancel;
import static dev.lavenderline.core.ledger.WorkEntries.chunk;
import static dev.lavenderline.core.ledger.WorkEntries.claim;
import static dev.lavenderline.core.ledger.WorkEntries.close;
import static dev.lavenderline.core.ledger.WorkEntries.complete;
import static dev.lavenderline.core.ledger.WorkEntries.failure;
import static dev.lavenderline.core.ledger.WorkEntries.job;
import static dev.lavenderline.core.ledger.WorkEntries.release;
import static dev.lavenderline.core.ledger.WorkEntries.republish;
import static dev.lavenderline.core.ledger.WorkEntries.result;
import static dev.lavenderline.core.ledger.WorkEntries.role;
import static dev.lavenderline.core.ledger.WorkEntries.seal;

import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.RecordBatch;
import java.util.List;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class WorkSessionTest {
    private final StringBuilder transcript = new StringBuilder();
    private final WorkLedger ledger = new WorkLedger(
            WorkEntries.RETENTION,
            event -> transcript.append("      ").append(event).append('\n'));
    private final LogFixture log = new LogFixture();

    /** Guards against missing, repeated or unordered events, and against an ignored record that has an effect. */
    @Test
    void eventsOfAWholeSession() {
        step("upload and create", "h", chunk("f", 0, 0, 2), chunk("f", 1, 2, 2), seal("f", 4, 2), job("j", "f", 4));
        step("create again (ignored)", "h", job("j", "f", 4));
        long first = step("claim", "a", claim("j", "a", 0));
        RecordBatch results = log.batch("a", List.of(complete("j", first, result(0, ""), failure(3, "bad"))));
        append("results", results);
        append("duplicate of the results (ignored)", results);
        long second = step("takeover", "b", claim("j", "b", first));
        step("results of the former holder (ignored)", "a", complete("j", first, result(1, "")));
        step("known result and a new one", "b", complete("j", second, result(0, ""), result(1, "")));
        step("republish", "b", republish("j", result(0, "")), chunk("f", 0, 0, 2));
        step("release", "b", release("j", second));
        long third = step("claim after release", "c", claim("j", "c", 0));
        step(
                "last result, then a close (ignored)",
                "c",
                complete("j", third, result(2, "")),
                close("j", third, "late"));
        step("second job, cancelled", "h", job("k", "f", 4), cancel("k", "other"), cancel("k", WORKSPACE));
        long fourth = step("third job, claimed", "c", job("l", "f", 4), claim("l", "c", 0));
        step("third job, expired", "c", close("l", fourth, "deadline"));
        step("role", "a", role("placement/sohar", "a", 0), role("placement/sohar", "b", 0));
        log.advance(WorkEntries.RETENTION);
        step("after the retention", "a");
        Approvals.verify(transcript);
    }

    private long step(String title, String writer, Entry... entries) {
        return append(title, log.batch(writer, List.of(entries)));
    }

    private long append(String title, RecordBatch batch) {
        transcript.append(log.records().size() + 1).append(' ').append(title).append('\n');
        log.append(batch);
        log.catchUp(ledger);
        return ledger.position();
    }
}
