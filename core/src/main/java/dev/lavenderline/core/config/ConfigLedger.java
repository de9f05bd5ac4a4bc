package dev.lavenderline.core.config;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.core.ledger.SequencedLedger;
import dev.lavenderline.proto.log.ChangeOutcome;
import dev.lavenderline.proto.log.ConfigChange;
import dev.lavenderline.proto.log.ConfigFile;
import dev.lavenderline.proto.log.ConfigState;
import dev.lavenderline.proto.log.Entry;
import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The configuration folder at its current revision, computed from the records of the stream {@code config}.
 *
 * <p>A change is accepted if its base is the current revision and the parser accepts the resulting folder; otherwise,
 * also if the parser throws, it is void. The offset of an accepted change becomes the revision, so the revision never
 * decreases. The parser must be deterministic, because every reader of the stream decides on its own.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public final class ConfigLedger extends SequencedLedger {
    /** Number of most recent changes whose outcome is retained. */
    public static final int RETAINED_OUTCOMES = 1_000;

    /** The outcome of a change. */
    public enum Outcome {
        /** The change is part of the configuration. */
        ACCEPTED,
        /** The change had an outdated base or the parser rejected it. */
        VOID,
        /** The change has not been read yet, or its outcome is no longer retained. */
        UNKNOWN
    }

    private final Function<SortedMap<String, byte[]>, Either<String, FleetConfig>> parser;
    private final Consumer<FleetConfig> listener;
    private TreeMap<String, ByteString> files = new TreeMap<>();
    private LinkedHashMap<String, ChangeOutcome> recentOutcomes = new LinkedHashMap<>();
    private FleetConfig config = FleetConfig.EMPTY;
    private boolean hasNewConfig;

    /**
     * Creates a ledger with the empty configuration at revision 0.
     *
     * @param parser merges and validates the files of the folder, by name; returns an error message or the
     *     configuration
     * @param listener receives each new configuration after its record has been applied; must not call {@link #apply}
     *     or {@link #restore}
     */
    public ConfigLedger(
            Function<SortedMap<String, byte[]>, Either<String, FleetConfig>> parser, Consumer<FleetConfig> listener) {
        this.parser = parser;
        this.listener = listener;
    }

    /** Returns the offset of the last accepted change, 0 before the first one. */
    public long revision() {
        return config.revision();
    }

    /** Returns the configuration at {@link #revision()}. */
    public FleetConfig config() {
        return config;
    }

    /** Returns a copy of the files of the folder by name. */
    public SortedMap<String, byte[]> files() {
        return copy(files);
    }

    /** Returns the outcome of a change, known for the most recent {@value #RETAINED_OUTCOMES} changes. */
    public Outcome outcome(String changeId) {
        ChangeOutcome outcome = recentOutcomes.get(changeId);
        if (outcome == null) {
            return Outcome.UNKNOWN;
        }
        return outcome.getAccepted() ? Outcome.ACCEPTED : Outcome.VOID;
    }

    @Override
    public byte[] snapshot() {
        ConfigState.Builder builder =
                ConfigState.newBuilder().addAllWriters(writerStates()).setRevision(revision());
        files.forEach((name, content) ->
                builder.addFiles(ConfigFile.newBuilder().setName(name).setContent(content)));
        return serialize(builder.addAllRecent(recentOutcomes.values()).build());
    }

    /**
     * {@inheritDoc}
     *
     * @throws IllegalArgumentException also if the revision of the snapshot is below the current one, or if the parser
     *     rejects its files
     */
    @Override
    public void restore(long asOf, byte[] bytes) {
        requireNewer(asOf);
        ConfigState parsed;
        try {
            parsed = ConfigState.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("snapshot as of " + asOf + " cannot be parsed", e);
        }
        if (parsed.getRevision() < revision() || parsed.getRevision() > asOf) {
            throw new IllegalArgumentException("snapshot as of " + asOf + " has revision " + parsed.getRevision()
                    + ", the current one is " + revision());
        }
        TreeMap<String, ByteString> restoredFiles = new TreeMap<>();
        parsed.getFilesList().forEach(file -> restoredFiles.put(file.getName(), file.getContent()));
        FleetConfig restored = FleetConfig.EMPTY;
        if (parsed.getRevision() != 0) {
            restored = parse(restoredFiles, parsed.getRevision())
                    .getOrElseThrow(message -> new IllegalArgumentException(
                            "snapshot as of " + asOf + " has an invalid configuration: " + message));
        }
        LinkedHashMap<String, ChangeOutcome> restoredOutcomes = new LinkedHashMap<>();
        parsed.getRecentList().forEach(outcome -> restoredOutcomes.put(outcome.getId(), outcome));
        boolean isNewer = restored.revision() > revision();
        files = restoredFiles;
        recentOutcomes = restoredOutcomes;
        config = restored;
        restorePosition(asOf, parsed.getWritersList());
        if (isNewer) {
            listener.accept(config);
        }
    }

    @Override
    protected void removeExpired(long logTimeMs) {
        // Nothing expires by time; the number of retained outcomes is limited instead.
    }

    @Override
    protected void applyEntry(long offset, int index, long logTimeMs, Entry entry) {
        if (!entry.hasConfigChange()) {
            return;
        }
        ConfigChange change = entry.getConfigChange();
        // An accepted change that another writer sends again stays accepted. A change without an id cannot be
        // distinguished from such a duplicate and is ignored.
        if (change.getId().isEmpty() || outcome(change.getId()) == Outcome.ACCEPTED) {
            return;
        }
        boolean isAccepted = tryAccept(offset, change);
        recentOutcomes.remove(change.getId());
        recentOutcomes.put(
                change.getId(),
                ChangeOutcome.newBuilder()
                        .setId(change.getId())
                        .setOffset(offset)
                        .setAccepted(isAccepted)
                        .build());
        if (recentOutcomes.size() > RETAINED_OUTCOMES) {
            recentOutcomes.remove(recentOutcomes.keySet().iterator().next());
        }
    }

    @Override
    protected void recordApplied() {
        if (!hasNewConfig) {
            return;
        }
        hasNewConfig = false;
        listener.accept(config);
    }

    private boolean tryAccept(long offset, ConfigChange change) {
        // A later change in the same batch cannot have known the revision created by an earlier one.
        if (change.getBase() != revision() || change.getBase() >= offset) {
            return false;
        }
        TreeMap<String, ByteString> changed = new TreeMap<>(files);
        for (ConfigFile file : change.getFilesList()) {
            if (file.getName().isEmpty()) {
                return false;
            }
            if (file.getRemoved()) {
                changed.remove(file.getName());
            } else {
                changed.put(file.getName(), file.getContent());
            }
        }
        Either<String, FleetConfig> parsed = parse(changed, offset);
        if (parsed.isLeft()) {
            return false;
        }
        files = changed;
        config = parsed.get();
        hasNewConfig = true;
        return true;
    }

    private Either<String, FleetConfig> parse(SortedMap<String, ByteString> folder, long revision) {
        try {
            return parser.apply(copy(folder)).map(parsed -> parsed.atRevision(revision));
        } catch (RuntimeException e) {
            // A single bad record must not stop every node that reads it.
            return Either.left("the parser threw " + e);
        }
    }

    private static SortedMap<String, byte[]> copy(SortedMap<String, ByteString> files) {
        TreeMap<String, byte[]> copy = new TreeMap<>();
        for (Map.Entry<String, ByteString> file : files.entrySet()) {
            copy.put(file.getKey(), file.getValue().toByteArray());
        }
        return copy;
    }
}
