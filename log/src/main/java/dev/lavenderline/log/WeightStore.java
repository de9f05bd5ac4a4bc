package dev.lavenderline.log;

import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import java.time.Duration;

/** The platform's rate-limited store of model weights. Failures are returned as values, not thrown. */
public interface WeightStore {
    /**
     * Reserves bandwidth to load an artifact.
     *
     * @param artifact name of the artifact
     * @param bytes size of the artifact, not negative
     * @return delay before the load may start
     */
    Uni<Either<PlatformError, Duration>> reserve(String artifact, long bytes);
}
