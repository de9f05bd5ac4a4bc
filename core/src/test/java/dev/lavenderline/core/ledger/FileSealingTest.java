package dev.lavenderline.core.ledger;

import static dev.lavenderline.core.ledger.WorkEntries.chunk;
import static dev.lavenderline.core.ledger.WorkEntries.job;
import static dev.lavenderline.core.ledger.WorkEntries.seal;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FileSealingTest {
    private final WorkLedger ledger = WorkEntries.ledger();
    private final LogFixture log = new LogFixture().addReaders(ledger);

    /** Guards against a job that reads the wrong chunk for an item at a chunk boundary. */
    @Test
    void itemsAreFoundInTheirChunk() {
        log.append("h", chunk("f", 0, 0, 2), chunk("f", 1, 2, 1));
        long last = log.append("h", chunk("f", 2, 3, 4), seal("f", 7, 3));
        BatchFile file = ledger.file("f").orElseThrow();
        assertEquals(
                List.of(0, 0, 1, 2, 2, 2, 2),
                List.of(0, 1, 2, 3, 4, 5, 6).stream()
                        .map(item -> file.chunks().indexOf(file.chunkOf(item)))
                        .toList());
        assertEquals(new ChunkLocation(last, 0, 3, 4, log.now()), file.chunkOf(6));
    }

    /** Guards against jobs on a file that lacks a chunk. */
    @ParameterizedTest
    @CsvSource({"1,2,2,4,2", "1,3,2,5,2", "1,1,2,4,2", "2,2,2,4,2", "1,2,2,4,1", "1,2,2,4,3", "1,2,2,3,2", "1,2,0,2,2"})
    void incompleteFileIsNotSealed(int index, int firstItem, int chunkItems, int items, int chunks) {
        log.append("h", chunk("f", 0, 0, 2), chunk("f", index, firstItem, chunkItems), seal("f", items, chunks));
        boolean isComplete = index == 1 && firstItem == 2 && chunkItems == 2 && items == 4 && chunks == 2;
        assertEquals(isComplete, ledger.file("f").isPresent());
    }

    /** Guards against a file that can never be sealed because an abandoned upload split it differently. */
    @Test
    void secondUploadReplacesTheChunksOfAnAbandonedOne() {
        log.append("a", chunk("f", 0, 0, 1), chunk("f", 1, 1, 1), chunk("f", 2, 2, 1));
        log.append("b", chunk("f", 0, 0, 3), chunk("f", 1, 3, 1), seal("f", 4, 2));
        assertEquals(2, ledger.file("f").orElseThrow().chunks().size());
    }

    /** Guards against jobs on files that are unsealed, of another workspace, or with another number of items. */
    @Test
    void jobNeedsASealedFileOfItsWorkspaceWithItsItemCount() {
        log.append("h", chunk("f", 0, 0, 4), job("early", "f", 4), seal("f", 4, 1));
        log.append(
                "h",
                job("unknown-file", "g", 4),
                job("wrong-item-count", "f", 3),
                job("wrong-workspace", "f", 4, created -> created.setWorkspace("other")));
        assertEquals(List.of(), ledger.openJobs());
        log.append("h", job("good", "f", 4));
        assertTrue(ledger.job("good").isPresent());
    }

    /** Guards against a job creation that is sent again and restarts the job or changes its deadline. */
    @Test
    void secondCreationOfAJobIsIgnoredAndJobsAreListedNewestFirst() {
        log.append("h", chunk("f", 0, 0, 4), seal("f", 4, 1), job("j1", "f", 4));
        log.append("h", job("j2", "f", 4), job("j1", "f", 4, created -> created.setDeadlineMs(99)));
        assertEquals(0, ledger.job("j1").orElseThrow().deadline().toEpochMilli());
        assertEquals(
                List.of("j2", "j1"),
                ledger.jobs(WorkEntries.WORKSPACE).stream().map(Job::id).toList());
        assertEquals(
                List.of("j1", "j2"), ledger.openJobs().stream().map(Job::id).toList());
        assertFalse(ledger.job("j3").isPresent());
    }
}
