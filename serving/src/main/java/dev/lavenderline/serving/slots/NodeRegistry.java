package dev.lavenderline.serving.slots;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.proto.slots.NodeRecord;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.store.KeyedListener;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.Partition;
import dev.lavenderline.serving.store.PartitionFollower;
import io.vertx.core.Future;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Registers this node in the store and watches the registrations of other nodes. A registration does not show whether
 * its node is alive; only a connection to the node does.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class NodeRegistry implements KeyedListener {
    private static final Partition PARTITION = new Partition("nodes", 0);
    private static final Duration POLL_WAIT = Duration.ofSeconds(5);
    private static final Duration POLL_PAUSE = Duration.ofMillis(500);
    private static final Duration REGISTER_RETRY_DELAY = Duration.ofMillis(500);

    /**
     * Time for which a node must have been missing from the scheduler before its registration is removed; far above the
     * times of a restart, a suspension and a partition. A node that is removed and lives registers again.
     */
    static final Duration ABSENCE_PERIOD = Duration.ofMinutes(1);

    private static final int MAX_PORT = 65_535;

    private final MetadataStore store;
    private final NodeEntry self;
    private final Ticker ticker;
    private final Timers timers;
    private final EventLog log;
    private final Consumer<Collection<NodeEntry>> listener;
    private final PartitionFollower follower;
    private final Map<String, NodeEntry> nodes = new HashMap<>();

    /** Since when registered nodes have been missing, by name. */
    private final Map<String, Long> absentSinceNanos = new HashMap<>();

    private boolean stopped;

    public NodeRegistry(
            MetadataStore store,
            NodeEntry self,
            Ticker ticker,
            Timers timers,
            EventLog log,
            Consumer<Collection<NodeEntry>> listener) {
        this.store = store;
        this.self = self;
        this.ticker = ticker;
        this.timers = timers;
        this.log = log;
        this.listener = listener;
        this.follower = new PartitionFollower(store, PARTITION, this, ticker, timers, log, POLL_WAIT, () -> POLL_PAUSE);
        nodes.put(self.name(), self);
    }

    /** Registers this node and starts watching the others. */
    public void start() {
        follower.start();
        register();
    }

    private void register() {
        if (stopped) {
            return;
        }
        byte[] value = NodeRecord.newBuilder()
                .setName(self.name())
                .setHost(self.host())
                .setPort(self.port())
                .setZone(self.failureDomain())
                .setCapacityMilli((int) Math.round(self.capacity() * 1000))
                .setStartedUnixMs(self.startedMillis())
                .build()
                .toByteArray();
        store.append(PARTITION, MetadataStore.ANY_END, List.of(new KeyedRecord(self.name(), value)))
                .onFailure(failure -> timers.after(REGISTER_RETRY_DELAY, this::register));
    }

    /** Stops watching and removes this node's registration; repeats that until the store confirms it. */
    public void deregister() {
        stopped = true;
        follower.stop();
        removeOwn();
    }

    private void removeOwn() {
        remove(self.name()).onFailure(failure -> timers.after(REGISTER_RETRY_DELAY, this::removeOwn));
    }

    private Future<Long> remove(String node) {
        return store.append(PARTITION, MetadataStore.ANY_END, List.of(new KeyedRecord(node, new byte[0])));
    }

    /**
     * Removes the registrations of nodes that are gone without having removed theirs; call it every few seconds on the
     * node whose scheduler is in use, and {@link #forgetAbsences} on the others.
     *
     * @param present names of the nodes that use this node's scheduler
     */
    public void removeAbsent(Set<String> present) {
        long now = ticker.nanos();
        absentSinceNanos.keySet().retainAll(nodes.keySet());
        absentSinceNanos.keySet().removeAll(present);
        for (String node : List.copyOf(nodes.keySet())) {
            if (node.equals(self.name()) || present.contains(node)) {
                continue;
            }
            long since = absentSinceNanos.computeIfAbsent(node, name -> now);
            if (now - since >= ABSENCE_PERIOD.toNanos()) {
                // Counts anew, so that a removal that the store does not confirm is repeated.
                absentSinceNanos.put(node, now);
                log.event(ServingEvent.REGISTRATION_REMOVED, "peer", node);
                remove(node);
            }
        }
    }

    /** Forgets which nodes were missing, because another node's scheduler is in use. */
    public void forgetAbsences() {
        absentSinceNanos.clear();
    }

    @Override
    public void reset(List<KeyedRecord> current) {
        nodes.clear();
        nodes.put(self.name(), self);
        current.forEach(record -> FailureGuard.run(log, () -> apply(record), "key", record.key()));
        listener.accept(nodes.values());
    }

    @Override
    public void record(KeyedRecord newer) {
        apply(newer);
        listener.accept(nodes.values());
    }

    /** Returns whether a connection to the address can be tried; an invalid port throws instead of failing. */
    private static boolean usable(NodeRecord entry, String key) {
        return entry.getName().equals(key)
                && !entry.getHost().isEmpty()
                && entry.getPort() > 0
                && entry.getPort() <= MAX_PORT;
    }

    private void apply(KeyedRecord record) {
        if (record.key().equals(self.name())) {
            // A delayed removal by an earlier process of this node must not remove the current registration.
            if (record.deletion()) {
                register();
            }
            return;
        }
        if (record.deletion()) {
            nodes.remove(record.key());
            return;
        }
        try {
            NodeRecord entry = NodeRecord.parseFrom(record.value());
            if (!usable(entry, record.key())) {
                log.event(
                        ServingEvent.RECORD_MALFORMED, "key", record.key(), "message", "names no address of this node");
                return;
            }
            nodes.put(
                    record.key(),
                    new NodeEntry(
                            entry.getName(),
                            entry.getHost(),
                            entry.getPort(),
                            entry.getZone(),
                            entry.getStartedUnixMs(),
                            entry.getCapacityMilli() / 1000.0));
        } catch (InvalidProtocolBufferException e) {
            log.event(ServingEvent.RECORD_MALFORMED, "key", record.key(), "message", e.getMessage());
        }
    }
}
