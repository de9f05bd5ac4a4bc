package dev.lavenderline.core.overload;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * What a process may hold for all its callers together. Immutable.
 *
 * @param heldBytes memory, in bytes, as {@link HeldMemory} counts it
 * @param connections open connections of callers
 */
public record ProcessLimits(long heldBytes, int connections) {
    /** Share of the heap, in eighths; the rest is for the process itself and for what is copied while it is sent. */
    private static final int HEAP_EIGHTHS = 3;

    /** Share of the connections' memory in the whole, so that idle connections leave room for requests. */
    private static final int CONNECTIONS_DIVISOR = 2;

    /** Descriptors that a platform reserves for files. */
    private static final int FILE_DESCRIPTORS = 200;

    /** Half of the sockets are for upstreams, the store and other nodes. */
    private static final int SOCKETS_DIVISOR = 2;

    /** Memory of a process without callers: its own objects, code, classes, stacks, collector. */
    private static final long FIXED_BYTES = 64L << 20;

    /** Share of a small machine's memory that callers have all the same. */
    private static final int MIN_SPARE_DIVISOR = 4;

    /** Held memory with which the largest request of the usual limits, 4 MiB of body, is served. */
    private static final long MIN_HELD_BYTES = 12L << 20;

    /** Memory outside the heap of a connection: its part of the direct buffers and bytes that are not read yet. */
    private static final long NATIVE_CONNECTION_BYTES = 2L * ConnectionGuard.MAX_READ_BYTES;

    /** Connections for ordinary callers on the smallest machines. */
    private static final int MIN_CONNECTIONS = 256;

    /** Returns the limits of this process, by its heap, the memory of the machine and the descriptors it may open. */
    public static ProcessLimits ofThisProcess() {
        long heapBytes = Runtime.getRuntime().maxMemory();
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            int descriptors = (int) Math.min(Integer.MAX_VALUE, system.getMaxFileDescriptorCount());
            return of(heapBytes, system.getTotalMemorySize(), descriptors);
        }
        return of(heapBytes, Long.MAX_VALUE, Integer.MAX_VALUE);
    }

    /** Returns limits that no process reaches. */
    public static ProcessLimits unbounded() {
        return new ProcessLimits(Long.MAX_VALUE, Integer.MAX_VALUE);
    }

    public ProcessLimits {
        if (heldBytes <= 0 || connections <= 0) {
            throw new IllegalArgumentException(
                    "heldBytes is " + heldBytes + " and connections is " + connections + ", must be above 0");
        }
    }

    /**
     * Returns the limits of a process.
     *
     * @param heapBytes largest size of the heap
     * @param memoryBytes memory that the process may use in all
     * @param descriptors descriptors that the process may have open
     */
    public static ProcessLimits of(long heapBytes, long memoryBytes, int descriptors) {
        long spareBytes = Math.max(memoryBytes - FIXED_BYTES, memoryBytes / MIN_SPARE_DIVISOR);
        // Half of it is for memory outside the heap.
        long heldBytes = Math.max(MIN_HELD_BYTES, Math.min(heapBytes / 8 * HEAP_EIGHTHS, spareBytes / 2));
        long byMemory = Math.min(
                heldBytes / CONNECTIONS_DIVISOR / HeldMemory.CONNECTION_BYTES,
                spareBytes / 2 / NATIVE_CONNECTION_BYTES);
        int byDescriptors = Math.max(1, (descriptors - FILE_DESCRIPTORS) / SOCKETS_DIVISOR);
        return new ProcessLimits(heldBytes, (int) Math.min(byDescriptors, Math.max(MIN_CONNECTIONS, byMemory)));
    }
}
