package dev.lavenderline.log;

import java.time.Instant;

/**
 * A complete snapshot that a follower found in the log.
 *
 * @param id id of the snapshot
 * @param asOf offset of the last record that the snapshot covers
 * @param time when the log stored the last part, by the log's clock
 */
public record SnapshotInfo(String id, long asOf, Instant time) {}
