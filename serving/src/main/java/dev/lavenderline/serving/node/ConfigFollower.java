package dev.lavenderline.serving.node;

import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.routes.FleetConfig;
import dev.lavenderline.serving.store.KeyedListener;
import dev.lavenderline.serving.store.KeyedRecord;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * Keeps the newest configuration. Versions only increase; a malformed record leaves the current version in effect.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ConfigFollower implements KeyedListener {
    private final ControlRecordDecoder decoder;
    private final EventLog log;
    private Optional<FleetConfig> current = Optional.empty();

    ConfigFollower(ControlRecordDecoder decoder, EventLog log) {
        this.decoder = decoder;
        this.log = log;
    }

    Optional<FleetConfig> current() {
        return current;
    }

    @Override
    public void reset(List<KeyedRecord> newest) {
        newest.forEach(this::record);
    }

    @Override
    public void record(KeyedRecord record) {
        if (!record.key().equals(decoder.configKey()) || record.deletion()) {
            return;
        }
        Either<String, FleetConfig> parsed = decoder.config(record.value());
        if (parsed.isLeft()) {
            log.event(ServingEvent.CONFIG_MALFORMED, "message", parsed.getLeft());
            return;
        }
        FleetConfig config = parsed.get();
        if (current.isPresent() && config.version() <= current.get().version()) {
            return;
        }
        current = Optional.of(config);
        log.event(ServingEvent.CONFIG_IN_FORCE, "version", config.version(), "routes", config.routeCount());
    }
}
