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
 * An input file of batch jobs; its bodies are in the log.
 *
 * <p>The object is a live view of the {@link WorkLedger}. Not thread-safe; confined to the node's event loop.
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
    private ChunkLocation[] inOrder = {};
    private long newestChunkMs;
    private int jobs;

    BatchFile(String id, String workspace) {
        this.id = id;
        this.workspace = workspace;
    }

    /** Returns the file id. */
    public String id() {
        return id;
    }

    /** Returns the workspace that uploaded the file. */
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

    /** Returns when the uploading node received the file. */
    public Instant created() {
        return Instant.ofEpochMilli(createdMs);
    }

    /** Returns the locations of all chunks in the order of their items. */
    public List<ChunkLocation> chunks() {
        return List.of(inOrder);
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
        int high = inOrder.length - 1;
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (inOrder[middle].firstItem() <= item) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return inOrder[low];
    }

    boolean sealed() {
        return sealed;
    }

    long newestChunkMs() {
        return newestChunkMs;
    }

    boolean isReferenced() {
        return jobs > 0;
    }

    void reference() {
        jobs++;
    }

    void dereference() {
        jobs--;
    }

    /** Returns whether the record adds a chunk or changes a location. */
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

    void locate(long offset, int entry, long nowMs, FileChunk chunk) {
        put(
                chunk.getIndex(),
                new ChunkLocation(offset, entry, chunk.getFirstItem(), chunk.getItems(), Instant.ofEpochMilli(nowMs)));
    }

    private void put(int index, ChunkLocation location) {
        chunks.put(index, location);
        newestChunkMs = Math.max(newestChunkMs, location.time().toEpochMilli());
        if (sealed) {
            inOrder[index] = location;
        }
    }

    /** Seals the file if its chunks are complete and without gaps; otherwise changes nothing. */
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
        // An abandoned upload with another division may have left chunks behind.
        chunks.tailMap(count).clear();
        inOrder = ordered;
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

    FileState state() {
        FileState.Builder state = FileState.newBuilder()
                .setFileId(id)
                .setWorkspace(workspace)
                .setName(name)
                .setBytes(bytes)
                .setItems(items)
                .setChunks(inOrder.length)
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

    static BatchFile of(FileState state) {
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
            throw new IllegalArgumentException("snapshot holds an incomplete file " + state.getFileId());
        }
        return file;
    }
}
