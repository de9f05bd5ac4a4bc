package dev.lavenderline.ctl;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** The commands of {@code lavenderctl} with their operands and flags. */
enum Command {
    CHECK("DIR", Set.of(), "Checks a configuration folder. Needs neither the log nor a node."),
    DIFF("DIR", Set.of("log-url", "timeout"), "Shows what apply would change."),
    APPLY(
            "DIR",
            Set.of("log-url", "timeout", "author", "base"),
            "Publishes the files that differ, as one change that takes effect as a whole or not at all."),
    STATUS("", Set.of("nodes", "timeout", "wait"), "Shows readiness and configuration revision of the nodes."),
    DUMP("NODE", Set.of("timeout"), "Prints the state dump of a node, given by its operators' address."),
    DRAIN("NODE", Set.of("timeout"), "Makes a node stop gracefully, given by its operators' address."),
    CANCEL("JOB", Set.of("log-url", "timeout", "workspace"), "Cancels a batch job.");

    private final String operand;
    private final Set<String> flags;
    private final String description;

    Command(String operand, Set<String> flags, String description) {
        this.operand = operand;
        this.flags = flags;
        this.description = description;
    }

    static Optional<Command> named(String word) {
        return Arrays.stream(values())
                .filter(command -> command.word().equals(word))
                .findFirst();
    }

    String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the name of the operand; empty if the command has none. */
    String operand() {
        return operand;
    }

    /**
     * Returns whether the command accepts a flag of its own; {@code output}, {@code help} and {@code version} are
     * accepted by all commands and not included.
     */
    boolean accepts(String flag) {
        return flags.contains(flag);
    }

    String description() {
        return description;
    }
}
