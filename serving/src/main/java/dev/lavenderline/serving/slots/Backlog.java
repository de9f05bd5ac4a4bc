package dev.lavenderline.serving.slots;

import java.util.function.Predicate;

/** Items that wait for a result. Called on the event loop. */
@FunctionalInterface
public interface Backlog {
    /** Visits items by due time until the visitor returns false. */
    void visit(Predicate<BacklogItem> visitor);
}
