package dev.lavenderline.serving.slots;

import java.util.List;
import java.util.function.LongSupplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * What a request is recognized by if upstreams crash under it: the prompt parts that it shares with others, and a hash
 * of the whole request, which is the same when the request comes again.
 *
 * <p>The hash is calculated when it is first needed, which it seldom is. Not thread-safe; confined to the event loop.
 */
public final class RequestTraits {
    /** Stands for the hash of a request that does not come again. */
    static final long NO_HASH = 0;

    private final List<Long> sharedParts;
    private final LongSupplier hashFunction;
    private long hash;
    private boolean hashed;

    /**
     * @param sharedParts hashes of the parts of the prompt that other requests may share
     * @param hashFunction returns a hash of all that stays the same when the request comes again
     */
    public RequestTraits(List<Long> sharedParts, LongSupplier hashFunction) {
        this.sharedParts = List.copyOf(sharedParts);
        this.hashFunction = hashFunction;
    }

    /** Returns the traits of a request that does not come again. */
    public static RequestTraits ofParts(List<Long> sharedParts) {
        return new RequestTraits(sharedParts, () -> NO_HASH);
    }

    /** Returns the same traits without the prompt parts. */
    public RequestTraits withoutParts() {
        return new RequestTraits(List.of(), this::hash);
    }

    List<Long> sharedParts() {
        return sharedParts;
    }

    long hash() {
        if (!hashed) {
            hash = hashFunction.getAsLong();
            hashed = true;
        }
        return hash;
    }

    /** Returns the parts and the hash, each of which may be what crashes upstreams. */
    List<Long> all() {
        return Stream.concat(
                        sharedParts.stream(),
                        LongStream.of(hash()).filter(value -> value != NO_HASH).boxed())
                .toList();
    }
}
