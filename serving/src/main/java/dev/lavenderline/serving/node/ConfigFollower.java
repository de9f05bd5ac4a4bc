package dev.lavenderline.serving.node;

import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.routes.FleetConfig;
import dev.lavenderline.serving.slots.ConfigExchange;
import dev.lavenderline.serving.store.KeyedListener;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.workspaces.ClockReading;
import dev.lavenderline.serving.workspaces.ConfigAge;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Keeps the newest configuration, from the store or from other nodes. Versions only increase; a malformed record leaves
 * the current version in effect. One in the store does not keep the store from confirming the last valid version, which
 * is to stay in effect; one from another node confirms nothing.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ConfigFollower implements KeyedListener, ConfigExchange.Source {
    private final ControlRecordDecoder decoder;
    private final EventLog log;
    private final ConfigAge age;
    private Supplier<Optional<ClockReading>> storeAsked = Optional::empty;
    private Optional<FleetConfig> current = Optional.empty();
    private Optional<byte[]> value = Optional.empty();

    /** Newest valid version read from the store, 0 before the first one. */
    private long storeVersion;

    ConfigFollower(ControlRecordDecoder decoder, ConfigAge age, EventLog log) {
        this.decoder = decoder;
        this.age = age;
        this.log = log;
    }

    /** Sets the source of the time as of which all records of the store have been handled. */
    void storeAsked(Supplier<Optional<ClockReading>> asked) {
        storeAsked = asked;
    }

    Optional<FleetConfig> current() {
        return current;
    }

    @Override
    public void reset(List<KeyedRecord> newest) {
        newest.forEach(record -> FailureGuard.run(log, () -> record(record), "key", record.key()));
    }

    @Override
    public void record(KeyedRecord record) {
        if (!record.key().equals(decoder.configKey()) || record.deletion()) {
            return;
        }
        storeVersion = Math.max(storeVersion, apply(record.value()));
    }

    @Override
    public void caughtUp() {
        storeAsked.get().ifPresent(asked -> age.confirmed(storeVersion, asked));
    }

    @Override
    public Optional<byte[]> value() {
        return value;
    }

    @Override
    public void received(byte[] fromNode) {
        try {
            apply(fromNode);
        } catch (RuntimeException e) {
            // The message is left out, as it may quote a key.
            log.event(
                    ServingEvent.UNEXPECTED,
                    "key",
                    decoder.configKey(),
                    "message",
                    e.getClass().getName());
        }
    }

    /** Applies a configuration if it is newer; returns its version, 0 if it is malformed. */
    private long apply(byte[] encoded) {
        Either<String, FleetConfig> parsed = decoder.config(encoded);
        if (parsed.isLeft()) {
            log.event(ServingEvent.CONFIG_MALFORMED, "message", parsed.getLeft());
            return 0;
        }
        FleetConfig config = parsed.get();
        if (current.isPresent() && config.version() <= current.get().version()) {
            return config.version();
        }
        current = Optional.of(config);
        value = Optional.of(encoded);
        age.hold(config.version());
        log.event(ServingEvent.CONFIG_IN_FORCE, "version", config.version(), "routes", config.routeCount());
        return config.version();
    }
}
