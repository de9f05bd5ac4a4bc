package dev.lavenderline.emulator;

import dev.lavenderline.serving.slots.SlotScheduler;
import java.util.Map;
import java.util.TreeMap;

/** Scheduling policies that can be compared, by name. */
final class Policies {
    static final String DEFAULT = "default";

    private static final Map<String, SlotScheduler.Options> BY_NAME =
            new TreeMap<>(Map.of(DEFAULT, SlotScheduler.Options.defaults()));

    private Policies() {}

    /**
     * Returns the options of a policy.
     *
     * @throws IllegalArgumentException if there is none with this name
     */
    static SlotScheduler.Options named(String name) {
        SlotScheduler.Options options = BY_NAME.get(name);
        if (options == null) {
            throw new IllegalArgumentException("no policy '" + name + "'; there are " + BY_NAME.keySet());
        }
        return options;
    }
}
