package dev.lavenderline.log;

import java.time.Instant;

/**
 * A complete snapshot that a reader has seen on the log.
 *
 * @param id id of the snapshot
 * @param asOf offset of the last record that it contains
 * @param time when the log stored its last part, by the log's clock
 */
public record SnapshotInfo(String id, long asOf, Instant time) {}
