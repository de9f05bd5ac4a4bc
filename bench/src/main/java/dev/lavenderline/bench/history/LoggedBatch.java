package dev.lavenderline.bench.history;

import dev.lavenderline.proto.log.RecordBatch;

/**
 * One record of a stream.
 *
 * @param offset position in the stream
 * @param batch content
 */
public record LoggedBatch(long offset, RecordBatch batch) {}
