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

    /** Reads the entry of an upstream. */
    Either<String, Upstream> upstream(String id, byte[] value);
}
