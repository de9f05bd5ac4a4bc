package dev.lavenderline.serving.online;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides which events belong to a stream. The ids of a stream are consecutive, and so are those of its continuation on
 * another upstream; anything else is a second copy, a gap or bytes of another response.
 *
 * <p>Invariants: the first id of a stream that begins anew may be any; once an event had an id, each further one has
 * the next; once an event does not belong to the stream, none does. Not thread-safe.
 */
public final class EventSequence {
    /** Size of all comments between two events, in bytes, above which the upstream is taken to write without end. */
    static final int MAX_CONTROL_BYTES = 64 * 1024;

    private OptionalLong firstId = OptionalLong.empty();
    private OptionalLong lastId;
    private final boolean continuation;
    private boolean broken;
    private boolean withoutId;
    private boolean empty = true;
    private int controlBytes;

    /**
     * Creates a sequence.
     *
     * @param lastId id of the event after which the stream continues, empty if it begins anew
     */
    public EventSequence(OptionalLong lastId) {
        this.lastId = lastId;
        this.continuation = lastId.isPresent();
    }

    /** Returns whether the next event belongs to the stream, and records its id if it does. */
    public boolean accepts(StreamEvent event) {
        controlBytes = event.controlOnly() ? controlBytes + event.raw().length() : 0;
        broken = broken || event.foreign() || outOfOrder(event) || controlBytes > MAX_CONTROL_BYTES;
        if (broken) {
            return false;
        }
        empty &= event.controlOnly();
        if (event.id().isEmpty()) {
            withoutId |= !event.controlOnly();
        } else {
            lastId = event.id();
            firstId = firstId.isPresent() ? firstId : lastId;
        }
        return true;
    }

    private boolean outOfOrder(StreamEvent event) {
        if (event.id().isEmpty()) {
            return lastId.isPresent() && !event.controlOnly();
        }
        return lastId.isPresent() && event.id().getAsLong() != lastId.getAsLong() + 1;
    }

    /**
     * Returns why a response that ends in order behind the accepted events is truncated, or empty if it is complete.
     * Records the response if it is an empty continuation; to be called once, at its end.
     *
     * @param withinEvent whether it ends within an event
     * @param closeDelimited whether only the end of the connection ends it, which then proves nothing
     * @param upstream id of the upstream
     * @param continuationEnd the stream's earlier empty continuations
     */
    public Optional<String> truncation(
            boolean withinEvent, boolean closeDelimited, String upstream, ContinuationEnd continuationEnd) {
        if (withinEvent) {
            return Optional.of("stream ended within an event");
        }
        if (!empty) {
            return Optional.empty();
        }
        if (continuation && !closeDelimited) {
            return continuationEnd.confirmed(upstream, lastId)
                    ? Optional.empty()
                    : Optional.of("continuation ended without an event");
        }
        return Optional.of("stream ended before the first event");
    }

    /** Returns whether an event has arrived that does not belong to the stream. */
    public boolean broken() {
        return broken;
    }

    /**
     * Returns whether another run can go on behind the accepted events, or begin anew if there is none but comments.
     */
    public boolean continuable() {
        return lastId.isPresent() || !withoutId;
    }

    /** Returns the id of the last event that belongs to the stream, empty if none had an id. */
    public OptionalLong lastId() {
        return lastId;
    }

    /** Returns the ids of the first and the last event that were accepted, empty if none had an id. */
    @Override
    public String toString() {
        return firstId.isEmpty() ? "" : firstId.getAsLong() + "-" + lastId.getAsLong();
    }
}
