package dev.lavenderline.serving.node;

import dev.lavenderline.serving.routes.FleetConfig;
import dev.lavenderline.serving.upstreams.Upstream;
import io.vavr.control.Either;

/**
 * Decodes the records that operators and upstreams write. A left value says why a record can't be decoded.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface ControlRecordDecoder {
    /** Returns the key of the configuration in its topic. */
    String configKey();

    /** Decodes a configuration. */
    Either<String, FleetConfig> config(byte[] value);

    /**
     * Returns the length in bytes of the prefix of an upstream's entry that contains all that {@link #upstream} reads;
     * the rest differs between records even if the upstream has not changed.
     */
    int contentLength(byte[] value);

    /** Decodes the entry of an upstream. */
    Either<String, Upstream> upstream(String id, byte[] value);
}
