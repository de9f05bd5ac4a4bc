package dev.lavenderline.log;

import com.google.protobuf.ByteString;
import dev.lavenderline.proto.log.SnapshotPart;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Assembles snapshots from their parts. Parts of different snapshots may be interleaved, repeated or missing; parts
 * that contradict each other never complete a snapshot.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
final class SnapshotAssembler {
    /** Incomplete snapshots that are retained; a node that stops while writing one never completes it. */
    private static final int MAX_INCOMPLETE = 8;

    /** Allows snapshots of 1 GiB with parts of 256 KiB. */
    private static final int MAX_PARTS = 4096;

    private final String stream;
    private final boolean keepData;
    private final Map<String, Partial> incomplete = new LinkedHashMap<>();

    /** A complete snapshot; {@code data} is empty if the assembler does not keep data. */
    record Complete(String id, long asOf, Instant time, ByteString data) {}

    private static final class Partial {
        private final long asOf;
        private final BitSet received = new BitSet();
        private final ByteString[] data;

        private Partial(long asOf, int parts) {
            this.asOf = asOf;
            this.data = new ByteString[parts];
        }
    }

    /**
     * Creates an assembler.
     *
     * @param stream the stream; snapshot parts of other streams are ignored
     * @param keepData whether to keep the data, or only to detect which snapshots are complete
     */
    SnapshotAssembler(String stream, boolean keepData) {
        this.stream = stream;
        this.keepData = keepData;
    }

    /** Adds a part of the record at an offset; returns the snapshot if this part completes it. */
    Optional<Complete> add(long offset, Instant time, SnapshotPart part) {
        long asOf = part.getAsOf();
        int parts = part.getParts();
        int index = part.getPart();
        boolean valid = stream.equals(part.getStream())
                && asOf >= 1
                && asOf < offset
                && parts >= 1
                && parts <= MAX_PARTS
                && index >= 0
                && index < parts;
        if (!valid) {
            return Optional.empty();
        }
        Partial partial = incomplete.computeIfAbsent(part.getId(), id -> new Partial(asOf, parts));
        if (partial.asOf != asOf || partial.data.length != parts) {
            return Optional.empty();
        }
        partial.received.set(index);
        partial.data[index] = keepData ? part.getData() : ByteString.EMPTY;
        if (partial.received.cardinality() < parts) {
            if (incomplete.size() > MAX_INCOMPLETE) {
                incomplete.remove(incomplete.keySet().iterator().next());
            }
            return Optional.empty();
        }
        incomplete.remove(part.getId());
        List<ByteString> data = new ArrayList<>(List.of(partial.data));
        return Optional.of(new Complete(part.getId(), asOf, time, ByteString.copyFrom(data)));
    }
}
