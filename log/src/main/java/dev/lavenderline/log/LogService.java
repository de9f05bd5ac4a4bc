package dev.lavenderline.log;

import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import java.time.Duration;

/**
 * The platform's append-only log. Each protocol has its own implementation.
 *
 * <p>Failures are returned as values: the returned Unis never fail. Implementations are not thread-safe; each instance
 * is confined to the event loop on which it was created.
 */
public interface LogService {
    /**
     * Appends one record.
     *
     * @param stream name of the stream; the first record creates it
     * @param data at most 1 MiB
     * @return the record's offset, at least 1, unique and increasing within the stream
     */
    Uni<Either<LogError, Long>> append(String stream, byte[] data);

    /**
     * Reads records in order.
     *
     * @param from first offset to read, at least 1
     * @param maxBytes soft limit of the response's size; at least one record is returned if there is one
     * @param wait maximum time to wait for a record if there is none at {@code from} yet
     */
    Uni<Either<LogError, LogSlice>> read(String stream, long from, int maxBytes, Duration wait);
}
