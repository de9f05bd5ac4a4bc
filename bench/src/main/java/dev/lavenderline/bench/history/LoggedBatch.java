package dev.lavenderline.bench.history;

import dev.lavenderline.proto.log.RecordBatch;

/**
 * A record of a stream with its position.
 *
 * @param offset offset in the stream
 * @param batch entries of the record
 */
public record LoggedBatch(long offset, RecordBatch batch) {}
