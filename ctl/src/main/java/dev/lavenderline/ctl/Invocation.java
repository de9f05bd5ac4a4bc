package dev.lavenderline.ctl;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;

/**
 * A valid command line.
 *
 * @param operand folder, node or job; empty if the command has none
 * @param json whether the output is JSON
 * @param logUrl address of the log; null if the command does not use it
 * @param nodes operators' addresses of the nodes; empty if the command does not use them
 * @param timeout time limit of the whole command
 * @param base revision that the change must be based on; empty for the current one
 * @param revision revision to wait for; empty to return at once
 * @param workspace workspace that owns the job; empty if the command does not use it
 */
record Invocation(
        Command command,
        String operand,
        boolean json,
        URI logUrl,
        List<String> nodes,
        Duration timeout,
        String author,
        OptionalLong base,
        OptionalLong revision,
        String workspace) {
    Invocation {
        nodes = List.copyOf(nodes);
    }
}
