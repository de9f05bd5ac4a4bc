package dev.lavenderline.ctl;

import dev.lavenderline.core.config.ConfigFault;
import dev.lavenderline.core.config.ConfigLedger;
import dev.lavenderline.core.config.ConfigParser;
import dev.lavenderline.core.ledger.Ledger;
import dev.lavenderline.proto.log.ConfigChange;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.RecordBatch;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A configuration ledger that also records the authors of accepted changes.
 *
 * <p>Not thread-safe; confined to the event loop of the session.
 */
final class ConfigHistory implements Ledger {
    private final ConfigLedger ledger = new ConfigLedger(
            files -> ConfigParser.parse(files)
                    .mapLeft(
                            faults -> faults.stream().map(ConfigFault::toString).collect(Collectors.joining("; "))),
            config -> {});

    private final Map<Long, Accepted> acceptedByBase = new HashMap<>();

    /** An accepted change and the revision that it created. */
    record Accepted(long revision, String author) {}

    /** Returns the ledger with the configuration and the outcomes of changes. */
    ConfigLedger ledger() {
        return ledger;
    }

    /**
     * Returns the change that replaced a revision. If that change is only known from a snapshot, the author is
     * "unknown" and the revision is the current one.
     */
    Optional<Accepted> successorOf(long revision) {
        if (ledger.revision() <= revision) {
            return Optional.empty();
        }
        return Optional.of(acceptedByBase.getOrDefault(revision, new Accepted(ledger.revision(), "unknown")));
    }

    /** Returns the author of the current revision, if its record was read. */
    Optional<String> currentAuthor() {
        return acceptedByBase.values().stream()
                .filter(change -> change.revision() == ledger.revision())
                .map(Accepted::author)
                .findFirst();
    }

    @Override
    public void apply(long offset, Instant time, RecordBatch batch) {
        long before = ledger.revision();
        ledger.apply(offset, time, batch);
        if (ledger.revision() == before) {
            return;
        }
        for (Entry entry : batch.getEntriesList()) {
            ConfigChange change = entry.getConfigChange();
            if (change.getBase() == before && ledger.outcome(change.getId()) == ConfigLedger.Outcome.ACCEPTED) {
                acceptedByBase.put(before, new Accepted(ledger.revision(), change.getAuthor()));
                return;
            }
        }
    }

    @Override
    public long position() {
        return ledger.position();
    }

    @Override
    public byte[] snapshot() {
        return ledger.snapshot();
    }

    @Override
    public void restore(long asOf, byte[] state) {
        ledger.restore(asOf, state);
    }
}
