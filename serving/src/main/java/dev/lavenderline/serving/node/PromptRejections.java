package dev.lavenderline.serving.node;

import dev.lavenderline.core.Timers;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.FailureGuard;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.slots.CrashingPrompts;
import dev.lavenderline.serving.store.KeyedListener;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.Partition;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Keeps the rejected prompt parts in the store, for nodes that start later or can't reach the scheduler. The key of a
 * record is the hashes of a set of parts in hexadecimal; a deletion withdraws it.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class PromptRejections implements KeyedListener {
    static final Partition PARTITION = new Partition("prompts", 0);

    private static final Duration RETRY_DELAY = Duration.ofMillis(500);
    private static final String SEPARATOR = "-";
    private static final byte[] PRESENT = {1};
    private static final byte[] DELETED = {};

    private final CrashingPrompts prompts;
    private final MetadataStore store;
    private final Timers timers;
    private final EventLog log;

    PromptRejections(CrashingPrompts prompts, MetadataStore store, Timers timers, EventLog log) {
        this.prompts = prompts;
        this.store = store;
        this.timers = timers;
        this.log = log;
        prompts.onDecision(this::add);
        prompts.onWithdrawal(this::delete);
    }

    @Override
    public void reset(List<KeyedRecord> current) {
        current.forEach(record -> FailureGuard.run(log, () -> record(record), "key", record.key()));
    }

    @Override
    public void record(KeyedRecord newer) {
        Set<Long> parts;
        try {
            parts = parse(newer.key());
        } catch (NumberFormatException e) {
            log.event(ServingEvent.RECORD_MALFORMED, "key", newer.key(), "message", e.getMessage());
            return;
        }
        if (newer.deletion()) {
            prompts.withdraw(parts);
        } else {
            prompts.reject(parts);
        }
    }

    /** Deletes the records of the sets of parts whose time is over; one node calls it. */
    void deleteExpired() {
        prompts.expire().forEach(this::delete);
    }

    private void add(Set<Long> parts) {
        store.append(PARTITION, MetadataStore.ANY_END, List.of(new KeyedRecord(key(parts), PRESENT)))
                .onFailure(failure -> timers.after(RETRY_DELAY, () -> {
                    if (prompts.rejected().contains(parts)) {
                        add(parts);
                    }
                }));
    }

    private void delete(Set<Long> parts) {
        store.append(PARTITION, MetadataStore.ANY_END, List.of(new KeyedRecord(key(parts), DELETED)))
                .onFailure(failure -> timers.after(RETRY_DELAY, () -> {
                    if (!prompts.rejected().contains(parts)) {
                        delete(parts);
                    }
                }));
    }

    private static String key(Set<Long> parts) {
        return parts.stream().sorted().map(Long::toHexString).collect(Collectors.joining(SEPARATOR));
    }

    private static Set<Long> parse(String key) {
        return Arrays.stream(key.split(SEPARATOR, -1))
                .map(part -> Long.parseUnsignedLong(part, 16))
                .collect(Collectors.toUnmodifiableSet());
    }
}
