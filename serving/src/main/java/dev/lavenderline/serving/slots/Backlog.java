package dev.lavenderline.serving.slots;

import java.util.function.Predicate;

/** Batch items without a result. Called on the event loop. */
@FunctionalInterface
public interface Backlog {
    /** Passes the items to a visitor in order of due time until it returns false. */
    void visit(Predicate<BacklogItem> visitor);

    /** Returns whether the items may be of several workspaces or priorities; if not, their due times order them. */
    default boolean shared() {
        return false;
    }
}
