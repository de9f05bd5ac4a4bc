package dev.lavenderline.log;

import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import java.time.Duration;

/**
 * The platform's append-only log. Another protocol is another implementation of this interface.
 *
 * <p>Failures are values, the returned items never fail with an exception. Implementations are confined to the event
 * loop on which they were created.
 */
public interface LogService {
    /**
     * Appends one record.
     *
     * @param stream name of the stream, created by its first record
     * @param data at most 1 MiB
     * @return the record's offset, at least 1, unique and increasing within the stream
     */
    Uni<Either<LogError, Long>> append(String stream, byte[] data);

    /**
     * Reads records in order.
     *
     * @param from first offset wanted, at least 1
     * @param maxBytes soft limit of the answer's size; at least one record is returned if there is one
     * @param wait how long to wait if there is no record at {@code from} yet
     */
    Uni<Either<LogError, LogSlice>> read(String stream, long from, int maxBytes, Duration wait);
}
