package dev.lavenderline.log;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.proto.log.RecordBatch;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Reads single batches whose bodies the ledgers do not keep, such as file chunks and item results. Batches are cached
 * and evicted in least-recently-used order. Sequential fetches read ahead: one read of the log returns several batches.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public final class RecordReader {
    private final LogService log;
    private final int readAheadBytes;
    private final Cache<Location, byte[]> cache;
    /** Reads in flight, so that concurrent fetches of a batch share one read. */
    private final Map<Location, Future<Either<LogError, RecordBatch>>> readsInFlight = new HashMap<>();
    /** Last offset that was requested, by stream. */
    private final Map<String, Long> lastRequestedOffsets = new HashMap<>();

    private record Location(String stream, long offset) {}

    /**
     * Creates a reader.
     *
     * @param cacheBytes maximum total size of the cached batches
     * @param readAheadBytes soft limit of a sequential read; more than half of the cache is of no use
     */
    public RecordReader(LogService log, long cacheBytes, int readAheadBytes) {
        this.log = Objects.requireNonNull(log, "log");
        if (cacheBytes < 0 || readAheadBytes < 1) {
            throw new IllegalArgumentException(
                    "cache bytes must not be negative and read-ahead bytes must be positive, not " + cacheBytes
                            + " and " + readAheadBytes);
        }
        this.readAheadBytes = readAheadBytes;
        this.cache = CacheBuilder.newBuilder()
                .concurrencyLevel(1)
                .maximumWeight(cacheBytes)
                .weigher((Location location, byte[] data) -> data.length)
                .build();
    }

    /**
     * Fetches the batch at an offset; the read starts immediately.
     *
     * @return the batch; {@code Expired} if the log no longer retains it; {@code Rejected} if there is none at the
     *     offset or it cannot be decoded; other errors of the log are returned as they are, and the caller may retry
     */
    public Uni<Either<LogError, RecordBatch>> fetch(String stream, long offset) {
        if (offset < 1) {
            throw new IllegalArgumentException("offset must be at least 1, not " + offset);
        }
        Location location = new Location(stream, offset);
        Long last = lastRequestedOffsets.put(stream, offset);
        byte[] cached = cache.getIfPresent(location);
        if (cached != null) {
            return Uni.createFrom().item(decode(location, cached));
        }
        Future<Either<LogError, RecordBatch>> inFlight = readsInFlight.get(location);
        if (inFlight != null) {
            return Futures.toUni(inFlight);
        }
        boolean sequential = last != null && last + 1 == offset;
        Promise<Either<LogError, RecordBatch>> promise = Promise.promise();
        readsInFlight.put(location, promise.future());
        log.read(stream, offset, sequential ? readAheadBytes : 1, Duration.ZERO)
                .onFailure()
                .recoverWithItem(error -> Either.left(new LogError.Unavailable(String.valueOf(error))))
                .subscribe()
                .with(outcome -> {
                    readsInFlight.remove(location);
                    promise.complete(outcome.flatMap(slice -> handleRead(location, slice)));
                });
        return Futures.toUni(promise.future());
    }

    private Either<LogError, RecordBatch> handleRead(Location location, LogSlice slice) {
        byte[] found = null;
        for (LogRecord record : slice.records()) {
            cache.put(new Location(location.stream(), record.offset()), record.data());
            if (record.offset() == location.offset()) {
                found = record.data();
            }
        }
        if (found != null) {
            return decode(location, found);
        }
        if (slice.firstOffset() > location.offset()) {
            return Either.left(new LogError.Expired(slice.firstOffset()));
        }
        return Either.left(new LogError.Rejected("stream " + location.stream() + " has no record " + location.offset()
                + "; its next offset is " + slice.nextOffset()));
    }

    private static Either<LogError, RecordBatch> decode(Location location, byte[] data) {
        try {
            RecordBatch batch = RecordBatch.parseFrom(data);
            if (batch.getVersion() == LogWriter.BATCH_VERSION) {
                return Either.right(batch);
            }
            return Either.left(new LogError.Rejected("record " + location.offset() + " of stream " + location.stream()
                    + " has the unsupported version " + Integer.toUnsignedString(batch.getVersion())));
        } catch (InvalidProtocolBufferException e) {
            return Either.left(new LogError.Rejected("record " + location.offset() + " of stream " + location.stream()
                    + " is not a batch: " + e.getMessage()));
        }
    }
}
