package dev.lavenderline.serving.slots;

import java.util.function.Predicate;

/** Batch items without a result. Called on the event loop. */
@FunctionalInterface
public interface Backlog {
    /** Passes the items to a visitor in order of due time until it returns false. */
    void visit(Predicate<BacklogItem> visitor);
}
