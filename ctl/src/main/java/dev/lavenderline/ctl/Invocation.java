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
 * @param logUrl the log; null if the command does not use it
 * @param nodes operators' addresses
 * @param timeout limit of the whole command
 * @param base revision that the change must be based on; empty for the current one
 * @param revision revision to wait for
 * @param workspace owner of the job
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
