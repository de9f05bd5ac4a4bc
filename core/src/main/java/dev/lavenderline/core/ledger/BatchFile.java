package dev.lavenderline.core.ledger;

import dev.lavenderline.proto.log.ChunkState;
import dev.lavenderline.proto.log.FileChunk;
import dev.lavenderline.proto.log.FileSealed;
import dev.lavenderline.proto.log.FileState;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * An input file of batch jobs. Holds the locations of its items; the request bodies stay in the log.
 *
 * <p>A live view of the {@link WorkLedger}, not a copy. Not thread-safe; confined to the node's event loop.
 */
public final class BatchFile {
    private final String id;
    private final String workspace;
    private final TreeMap<Integer, ChunkLocation> chunks = new TreeMap<>();
    private String name = "";
    private long bytes;
    private int items;
    private long createdMs;
    private boolean sealed;
    private ChunkLocation[] orderedChunks = {};
    private long newestChunkMs;
    private int referencingJobs;

    BatchFile(String id, String workspace) {
        this.id = id;
        this.workspace = workspace;
    }

    /** Returns the file id. */
    public String id() {
        return id;
    }

    /** Returns the workspace that owns the file. */
    public String workspace() {
        return workspace;
    }

    /** Returns the name given at the upload that sealed the file. */
    public String name() {
        return name;
    }

    /** Returns the size in bytes. */
    public long bytes() {
        return bytes;
    }

    /** Returns the number of items. */
    public int items() {
        return items;
    }

    /** Returns when the node that handled the upload received the file. */
    public Instant created() {
        return Instant.ofEpochMilli(createdMs);
    }

    /** Returns the locations of all chunks in item order. */
    public List<ChunkLocation> chunks() {
        return List.of(orderedChunks);
    }

    /**
     * Returns the location of the chunk that contains an item.
     *
     * @throws IndexOutOfBoundsException if the file has no such item
     */
    public ChunkLocation chunkOf(int item) {
        if (item < 0 || item >= items) {
            throw new IndexOutOfBoundsException("item " + item + " of file " + id + " with " + items + " items");
        }
        int low = 0;
        int high = orderedChunks.length - 1;
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (orderedChunks[middle].firstItem() <= item) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return orderedChunks[low];
    }

    boolean sealed() {
        return sealed;
    }

    long newestChunkMs() {
        return newestChunkMs;
    }

    boolean isReferenced() {
        return referencingJobs > 0;
    }

    void addReference() {
        referencingJobs++;
    }

    void removeReference() {
        referencingJobs--;
    }

    /**
     * Returns whether the record may add or move a chunk. A chunk of a sealed file may only move: its item range must
     * stay the same.
     */
    boolean accepts(FileChunk chunk) {
        if (!workspace.equals(chunk.getWorkspace())
                || chunk.getIndex() < 0
                || chunk.getFirstItem() < 0
                || chunk.getItems() <= 0) {
            return false;
        }
        ChunkLocation known = chunks.get(chunk.getIndex());
        if (!sealed) {
            return true;
        }
        return known != null && known.firstItem() == chunk.getFirstItem() && known.items() == chunk.getItems();
    }

    void putChunk(long offset, int entry, long logTimeMs, FileChunk chunk) {
        put(
                chunk.getIndex(),
                new ChunkLocation(
                        offset, entry, chunk.getFirstItem(), chunk.getItems(), Instant.ofEpochMilli(logTimeMs)));
    }

    private void put(int index, ChunkLocation location) {
        chunks.put(index, location);
        newestChunkMs = Math.max(newestChunkMs, location.time().toEpochMilli());
        if (sealed) {
            orderedChunks[index] = location;
        }
    }

    /** Seals the file and returns true if its chunks cover all items without gaps; otherwise changes nothing. */
    boolean seal(FileSealed seal) {
        int count = seal.getChunks();
        if (sealed
                || !workspace.equals(seal.getWorkspace())
                || seal.getItems() <= 0
                || seal.getItems() > WorkLedger.MAX_ITEMS
                || count <= 0
                || count > chunks.size()) {
            return false;
        }
        ChunkLocation[] ordered = new ChunkLocation[count];
        long next = 0;
        for (int i = 0; i < count; i++) {
            ChunkLocation chunk = chunks.get(i);
            if (chunk == null || chunk.firstItem() != next) {
                return false;
            }
            next += chunk.items();
            ordered[i] = chunk;
        }
        if (next != seal.getItems()) {
            return false;
        }
        // An abandoned upload that was split differently may have left extra chunks.
        chunks.tailMap(count).clear();
        orderedChunks = ordered;
        newestChunkMs = 0;
        for (ChunkLocation chunk : ordered) {
            newestChunkMs = Math.max(newestChunkMs, chunk.time().toEpochMilli());
        }
        name = seal.getName();
        bytes = seal.getBytes();
        items = seal.getItems();
        createdMs = seal.getCreatedMs();
        sealed = true;
        return true;
    }

    FileState toState() {
        FileState.Builder state = FileState.newBuilder()
                .setFileId(id)
                .setWorkspace(workspace)
                .setName(name)
                .setBytes(bytes)
                .setItems(items)
                .setChunks(orderedChunks.length)
                .setCreatedMs(createdMs)
                .setSealed(sealed);
        for (Map.Entry<Integer, ChunkLocation> chunk : chunks.entrySet()) {
            ChunkLocation location = chunk.getValue();
            state.addChunk(ChunkState.newBuilder()
                    .setIndex(chunk.getKey())
                    .setFirstItem(location.firstItem())
                    .setItems(location.items())
                    .setOffset(location.offset())
                    .setEntry(location.entry())
                    .setTimeMs(location.time().toEpochMilli()));
        }
        return state.build();
    }

    static BatchFile fromState(FileState state) {
        BatchFile file = new BatchFile(state.getFileId(), state.getWorkspace());
        for (ChunkState chunk : state.getChunkList()) {
            file.put(
                    chunk.getIndex(),
                    new ChunkLocation(
                            chunk.getOffset(),
                            chunk.getEntry(),
                            chunk.getFirstItem(),
                            chunk.getItems(),
                            Instant.ofEpochMilli(chunk.getTimeMs())));
        }
        if (state.getSealed()
                && !file.seal(FileSealed.newBuilder()
                        .setFileId(state.getFileId())
                        .setWorkspace(state.getWorkspace())
                        .setName(state.getName())
                        .setBytes(state.getBytes())
                        .setItems(state.getItems())
                        .setChunks(state.getChunks())
                        .setCreatedMs(state.getCreatedMs())
                        .build())) {
            throw new IllegalArgumentException("snapshot contains incomplete file " + state.getFileId());
        }
        return file;
    }
}
