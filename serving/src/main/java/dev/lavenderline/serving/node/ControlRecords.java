package dev.lavenderline.serving.node;

import dev.lavenderline.serving.routes.FleetConfig;
import dev.lavenderline.serving.upstreams.Upstream;
import io.vavr.control.Either;

/**
 * Form of the records that operators and upstreams write. A left value says what can't be read.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface ControlRecords {
    /** Key of the configuration in its topic. */
    String configKey();

    /** Reads a configuration. */
    Either<String, FleetConfig> config(byte[] value);

    /**
     * Returns the length of the first part of an upstream's entry, in bytes, which tells all that {@link #upstream} reads;
     * what follows differs from record to record although nothing has changed.
     */
    int lengthOfContent(byte[] value);

    /** Reads the entry of an upstream. */
    Either<String, Upstream> upstream(String id, byte[] value);
}
