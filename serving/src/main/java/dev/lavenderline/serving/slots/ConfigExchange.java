package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.proto.slots.ConfigRecord;
import dev.lavenderline.proto.slots.ConfigRequest;
import dev.lavenderline.proto.slots.Ping;
import dev.lavenderline.proto.slots.Pong;
import dev.lavenderline.serving.workspaces.ClockReading;
import dev.lavenderline.serving.workspaces.ConfigAge;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Exchanges the configuration and its age with other nodes, so that a node that the store rejects learns of changes and
 * knows that there were none.
 *
 * <p>A statement in a pong confirms a version as of the time at which the ping was sent, minus the stated age; one in a
 * ping as of the time at which the pong that it echoes was sent, minus the age. Both are before the sender read its
 * clock, so an age only grows on its way through several nodes. Statements that answer no known frame confirm nothing.
 * Not thread-safe; confined to the event loop.
 */
public final class ConfigExchange {
    /** Time until a newer configuration is requested again on the same connection. */
    static final Duration REQUEST_INTERVAL = Duration.ofSeconds(1);

    /** Pings or pongs of a connection that may still be answered; a node sends one after the response to the last. */
    private static final int MAX_OPEN_FRAMES = 8;

    /** Largest configuration that is sent; leaves room for the other fields of the frame. */
    static final int MAX_VALUE_BYTES = SlotFrames.MAX_FRAME_BYTES - 64;

    /** The configuration of this node, as its operator wrote it. */
    public interface Source {
        /** Returns the bytes of the version held. */
        Optional<byte[]> value();

        /** Handles the bytes of a configuration from another node. */
        void received(byte[] value);
    }

    private final ConfigAge age;
    private final Source source;
    private final Ticker ticker;

    public ConfigExchange(ConfigAge age, Source source, Ticker ticker) {
        this.age = age;
        this.source = source;
        this.ticker = ticker;
    }

    /** Returns an exchange that states and keeps no configuration. */
    static ConfigExchange none(Ticker ticker) {
        Source nothing = new Source() {
            @Override
            public Optional<byte[]> value() {
                return Optional.empty();
            }

            @Override
            public void received(byte[] value) {}
        };
        return new ConfigExchange(new ConfigAge(ticker), nothing, ticker);
    }

    private ConfigStatement statement() {
        return age.version() == 0 ? ConfigStatement.NONE : new ConfigStatement(age.version(), age.age());
    }

    /** Returns the state for a new connection, on whose peer frames are written with the given function. */
    Link connect(Consumer<Buffer> writer) {
        return new Link(writer);
    }

    private record SentFrame(long number, ClockReading at) {}

    /** The exchange over one connection, at either end. */
    final class Link {
        private final Consumer<Buffer> writer;
        private final Deque<SentFrame> sent = new ArrayDeque<>();
        private long echo;
        private Optional<Long> requestedNanos = Optional.empty();

        private Link(Consumer<Buffer> writer) {
            this.writer = writer;
        }

        private void recordSent(long number, ClockReading at) {
            sent.addLast(new SentFrame(number, at));
            if (sent.size() > MAX_OPEN_FRAMES) {
                sent.removeFirst();
            }
        }

        /** Returns the next ping. */
        Buffer ping(long sequence, List<NodeSighting> sightings) {
            recordSent(sequence, ClockReading.now(ticker));
            return SlotFrames.ping(sequence, statement(), echo, sightings);
        }

        void pongReceived(Pong pong) {
            echo = pong.getStamp();
            handle(pong.getSequence(), pong.getConfigVersion(), pong.getConfigAgeMs());
        }

        /** Handles a ping and returns the response. */
        Buffer pong(Ping ping, Duration jobStateAge, List<NodeSighting> sightings) {
            handle(ping.getEcho(), ping.getConfigVersion(), ping.getConfigAgeMs());
            ClockReading now = ClockReading.now(ticker);
            recordSent(now.nanos(), now);
            return SlotFrames.pong(ping.getSequence(), jobStateAge, statement(), now.nanos(), sightings);
        }

        /** Handles a statement of the peer in the response to a frame of this node. */
        private void handle(long answeredFrame, long version, int ageMillis) {
            if (version <= 0) {
                return;
            }
            Duration stated = Duration.ofMillis(Integer.toUnsignedLong(ageMillis));
            sent.stream()
                    .filter(frame -> frame.number() == answeredFrame)
                    .findFirst()
                    .ifPresent(frame -> age.confirmed(version, frame.at().minus(stated)));
            if (version > age.version()) {
                request();
            }
        }

        private void request() {
            long now = ticker.nanos();
            if (requestedNanos.isPresent() && now - requestedNanos.get() < REQUEST_INTERVAL.toNanos()) {
                return;
            }
            requestedNanos = Optional.of(now);
            writer.accept(SlotFrames.configRequest(age.version()));
        }

        /** Sends the configuration to the peer if it is newer than the peer's. */
        void requested(ConfigRequest request) {
            if (age.version() <= request.getVersion()) {
                return;
            }
            source.value()
                    .filter(value -> value.length <= MAX_VALUE_BYTES)
                    .ifPresent(value -> writer.accept(SlotFrames.configRecord(age.version(), value)));
        }

        void received(ConfigRecord record) {
            long before = age.version();
            source.received(record.getValue().toByteArray());
            if (age.version() > before) {
                // The next version may follow at once; one that can't be used is not requested again so soon.
                requestedNanos = Optional.empty();
            }
        }
    }
}
