package dev.lavenderline.core.ledger;

import static dev.lavenderline.core.ledger.WorkEntries.claim;
import static dev.lavenderline.core.ledger.WorkEntries.release;
import static dev.lavenderline.core.ledger.WorkEntries.role;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class JobClaimTest {
    private final WorkLedger ledger = WorkEntries.ledger();
    private final LogFixture log = new LogFixture().addReaders(ledger);
    private Job job;

    @BeforeEach
    void openJob() {
        WorkEntries.openJob(log, "j", 3);
        job = ledger.job("j").orElseThrow();
    }

    /** Guards against two nodes that both hold a job after they claimed it concurrently. */
    @Test
    void firstOfTwoConcurrentClaimsWins() {
        long first = log.append("a", claim("j", "a", 0));
        log.append("b", claim("j", "b", 0));
        assertEquals("a", job.holder());
        assertEquals(first, job.claim());
        long second = log.append("b", claim("j", "b", first));
        log.append("c", claim("j", "c", first));
        assertEquals("b", job.holder());
        assertEquals(second, job.claim());
    }

    /** Guards against a release by a former holder that revokes the claim of the current one. */
    @Test
    void onlyTheCurrentHolderCanRelease() {
        long first = log.append("a", claim("j", "a", 0));
        long second = log.append("b", claim("j", "b", first));
        log.append("a", release("j", first), release("j", 0));
        assertEquals(second, job.claim());
        log.append("b", release("j", second));
        assertEquals(0, job.claim());
        assertEquals("", job.holder());
    }

    /** Guards against two holders with the same fencing token because their claims share a batch. */
    @Test
    void claimCannotFollowAClaimOfTheSameBatch() {
        long own = log.records().size() + 1L;
        log.append("a", claim("j", "a", 0), claim("j", "b", own), release("j", own));
        assertEquals("a", job.holder());
        assertEquals(own, job.claim());
    }

    /** Guards against a job that no node can take over because its holder is empty. */
    @Test
    void claimWithoutHolderIsIgnored() {
        log.append("a", claim("j", "", 0));
        assertEquals(0, job.claim());
    }

    /** Guards against two holders of a placement role that both send orders with valid fencing tokens. */
    @Test
    void roleClaimsFollowTheRulesOfJobClaims() {
        long first = log.append("a", role("placement/muscat", "a", 0));
        log.append("b", role("placement/muscat", "b", 0), role("placement/sohar", "b", 0));
        assertEquals(
                new Role("placement/muscat", "a", first),
                ledger.role("placement/muscat").orElseThrow());
        long third = log.append("b", role("placement/muscat", "b", first), role("placement/muscat", "c", first + 2));
        assertEquals(
                new Role("placement/muscat", "b", third),
                ledger.role("placement/muscat").orElseThrow());
    }
}
