package dev.lavenderline.serving.node;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.proto.versions.VersionRecord;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.store.KeyedListener;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.Partition;
import dev.lavenderline.serving.upstreams.ServedVersions;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import dev.lavenderline.serving.workspaces.ClockReading;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the software versions that are in service in the store, for processes that start when no other one is left. A
 * version has a record from when it is first listed until no stream that began on it can be resumed. A record becomes
 * settled when the writer knows all versions that were in service before, and each has a record; a settled record that
 * is the only one of its service proves that there was no other version.
 *
 * <p>Invariants: records are written only when the set of versions changes or a record becomes settled; no write is
 * repeated before its outcome is known. Not thread-safe; confined to the event loop.
 */
final class VersionRecords implements KeyedListener {
    static final Partition PARTITION = new Partition("versions", 0);

    private static final int KEY_BYTES = 8;
    private static final byte[] DELETED = {};

    private final ServedVersions versions;
    private final MetadataStore store;
    private final Ticker ticker;
    private final EventLog log;
    private final Map<String, Entry> entries = new HashMap<>();

    /** Keys of the records that are being written or deleted. */
    private final Set<String> writing = new HashSet<>();

    private boolean loaded;

    private record Entry(ServiceVersion version, boolean settled, long readNanos) {}

    VersionRecords(ServedVersions versions, MetadataStore store, Ticker ticker, EventLog log) {
        this.versions = versions;
        this.store = store;
        this.ticker = ticker;
        this.log = log;
    }

    @Override
    public void reset(List<KeyedRecord> current) {
        loaded = true;
        entries.clear();
        writing.clear();
        current.forEach(record -> FailureGuard.run(log, () -> apply(record), "key", record.key()));
        publish();
        versions.recordsLoaded();
    }

    @Override
    public void record(KeyedRecord newer) {
        writing.remove(newer.key());
        apply(newer);
        publish();
    }

    @Override
    public void endReached(ClockReading asked) {
        versions.recordsConfirmed(asked);
    }

    private void apply(KeyedRecord record) {
        if (record.deletion()) {
            entries.remove(record.key());
            return;
        }
        try {
            VersionRecord value = VersionRecord.parseFrom(record.value());
            ServiceVersion version = new ServiceVersion(value.getService(), value.getVersion());
            entries.put(record.key(), new Entry(version, value.getSettled(), ticker.nanos()));
        } catch (InvalidProtocolBufferException e) {
            log.event(ServingEvent.RECORD_MALFORMED, "key", record.key(), "message", e.getMessage());
        }
    }

    private void publish() {
        Map<ServiceVersion, Boolean> recorded = new HashMap<>();
        entries.values().forEach(entry -> recorded.merge(entry.version(), entry.settled(), Boolean::logicalAnd));
        versions.replaceRecorded(recorded);
    }

    /**
     * Writes what the records lack and deletes those that are over. The nodes whose schedulers are in use call it after
     * each change of the list and every second, so that failed writes are repeated.
     */
    void update() {
        if (!loaded) {
            return;
        }
        Set<ServiceVersion> inService = versions.ages().keySet();
        for (ServiceVersion version : inService) {
            Entry entry = entries.get(key(version));
            boolean settled = versions.observed() && othersRecorded(version, inService);
            if (entry == null || (settled && !entry.settled())) {
                write(key(version), value(version, settled));
            }
        }
        if (versions.observed()) {
            Map.copyOf(entries).forEach((key, entry) -> {
                if (!inService.contains(entry.version()) && expired(entry)) {
                    write(key, DELETED);
                }
            });
        }
    }

    private boolean othersRecorded(ServiceVersion version, Set<ServiceVersion> inService) {
        return inService.stream()
                .filter(other -> other.service().equals(version.service()) && !other.equals(version))
                .allMatch(other -> entries.containsKey(key(other)));
    }

    /** A record that was read recently may be of a version that is not in this node's list yet. */
    private boolean expired(Entry entry) {
        return ticker.nanos() - entry.readNanos() > versions.period().toNanos();
    }

    private byte[] value(ServiceVersion version, boolean settled) {
        return VersionRecord.newBuilder()
                .setService(version.service())
                .setVersion(version.version())
                .setSettled(settled)
                .setWrittenUnixMs(ticker.now().toEpochMilli())
                .build()
                .toByteArray();
    }

    private void write(String key, byte[] value) {
        if (writing.add(key)) {
            store.append(PARTITION, MetadataStore.ANY_END, List.of(new KeyedRecord(key, value)))
                    .onFailure(failure -> writing.remove(key));
        }
    }

    /** Returns the key of a version's record: a hash, as the names together may exceed the length of a key. */
    static String key(ServiceVersion version) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(version.service().getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(version.version().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(), 0, KEY_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java platform has SHA-256", e);
        }
    }
}
