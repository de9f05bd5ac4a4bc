package dev.lavenderline.core.ledger;

import java.time.Instant;

/**
 * Where the log holds some consecutive lines of an input file.
 *
 * @param offset offset of the batch in the stream {@code work}
 * @param entry position of the file chunk among the entries of the batch
 * @param firstItem index of the first item of the chunk
 * @param items number of items in the chunk
 * @param time log time of the batch; the body expires one log retention after it
 */
public record ChunkLocation(long offset, int entry, int firstItem, int items, Instant time) {}
