package dev.lavenderline.log;

import java.time.Instant;

/**
 * One record of the log.
 *
 * @param offset position in its stream, at least 1
 * @param time when the log stored the record, by the log's clock
 * @param data the content; not copied, must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record LogRecord(long offset, Instant time, byte[] data) {}
