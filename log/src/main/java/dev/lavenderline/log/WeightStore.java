package dev.lavenderline.log;

import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import java.time.Duration;

/** The platform's rate-limited store of model weights. Failures are values. */
public interface WeightStore {
    /**
     * Asks for the allowance to load an artifact.
     *
     * @return how long to wait before the load may start
     */
    Uni<Either<PlatformError, Duration>> reserve(String artifact, long bytes);
}
