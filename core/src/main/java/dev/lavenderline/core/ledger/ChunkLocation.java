package dev.lavenderline.core.ledger;

import java.time.Instant;

/**
 * Location in the log of a chunk: a range of consecutive items of an input file.
 *
 * @param offset offset of the batch in the stream {@code work}
 * @param entry index of the chunk among the entries of the batch
 * @param firstItem index of the first item of the chunk
 * @param items number of items in the chunk
 * @param time log time of the batch; the log drops the body one log retention later
 */
public record ChunkLocation(long offset, int entry, int firstItem, int items, Instant time) {}
