package dev.lavenderline.ctl;

import com.google.common.base.Strings;
import dev.lavenderline.ctl.NodeClient.NodeStatus;
import dev.lavenderline.ctl.NodeClient.NotRunning;
import dev.lavenderline.ctl.NodeClient.RequestFailed;
import dev.lavenderline.ctl.NodeClient.State;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Node commands: status, dump and drain. */
final class NodeCommands {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    private NodeCommands() {}

    /**
     * Shows readiness and revision of the nodes. With {@code --wait}, waits until every live node has the given
     * revision or a later one. A node that refuses connections is not live. A node whose request fails otherwise may be
     * live, so the command waits for it.
     */
    static Result status(Invocation invocation, Vertx vertx) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + invocation.timeout().toNanos();
        try (NodeClient client = new NodeClient(vertx, requestTimeout(invocation))) {
            while (true) {
                List<NodeStatus> statuses = await(client.states(invocation.nodes()));
                boolean inForce = isInForce(invocation, statuses);
                boolean waiting = invocation.revision().isPresent() && !inForce;
                if (waiting && System.nanoTime() + POLL_INTERVAL.toNanos() < deadlineNanos) {
                    Thread.sleep(POLL_INTERVAL.toMillis());
                    continue;
                }
                return describe(invocation, statuses, inForce);
            }
        }
    }

    private static boolean isInForce(Invocation invocation, List<NodeStatus> statuses) {
        long revision = invocation.revision().orElse(0);
        long live = statuses.stream()
                .filter(status -> !(status instanceof NotRunning))
                .count();
        return live > 0
                && statuses.stream()
                        .allMatch(status -> status instanceof NotRunning
                                || (status instanceof State state && state.revision() >= revision));
    }

    private static Result describe(Invocation invocation, List<NodeStatus> statuses, boolean inForce) {
        StringBuilder text = new StringBuilder();
        text.append(row("NODE", "READY", "REVISION"));
        List<Map<String, Object>> nodes = new ArrayList<>();
        for (NodeStatus status : statuses) {
            Map<String, Object> node = new LinkedHashMap<>();
            node.put("node", status.node());
            if (status instanceof State state) {
                text.append(row(state.node(), state.isReady() ? "yes" : "no", Long.toString(state.revision())));
                node.put("ready", state.isReady());
                node.put("revision", state.revision());
            } else {
                String error = status instanceof RequestFailed failed ? "no answer: " + failed.reason() : "not running";
                text.append(row(status.node(), "-", error));
                node.put("error", error);
            }
            nodes.add(node);
        }
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("nodes", nodes);
        boolean noneRunning = statuses.stream().noneMatch(State.class::isInstance);
        int exitCode = noneRunning ? ExitCode.UNAVAILABLE : ExitCode.SUCCESS;
        if (invocation.revision().isPresent()) {
            json.put("revision", invocation.revision().getAsLong());
            json.put("in_force", inForce);
            text.append("revision ").append(invocation.revision().getAsLong());
            text.append(inForce ? " is in force on every live node" : " is not in force on every live node");
            exitCode = inForce ? ExitCode.SUCCESS : ExitCode.FAILED;
        }
        return Result.of(exitCode, text.toString().stripTrailing(), json);
    }

    private static String row(String node, String ready, String revision) {
        return Strings.padEnd(node, 22, ' ') + Strings.padEnd(ready, 7, ' ') + revision + "\n";
    }

    static Result dump(Invocation invocation, Vertx vertx) throws InterruptedException {
        try (NodeClient client = new NodeClient(vertx, requestTimeout(invocation))) {
            NodeStatus status =
                    await(client.states(List.of(invocation.operand()))).get(0);
            if (status instanceof State state) {
                return Result.of(
                        ExitCode.SUCCESS,
                        state.dump().encodePrettily(),
                        state.dump().getMap());
            }
            return unavailable(invocation, status instanceof RequestFailed failed ? failed.reason() : "not running");
        }
    }

    static Result drain(Invocation invocation, Vertx vertx) throws InterruptedException {
        try (NodeClient client = new NodeClient(vertx, requestTimeout(invocation))) {
            String error = await(client.drain(invocation.operand()));
            if (!error.isEmpty()) {
                return unavailable(invocation, error);
            }
            Map<String, Object> json = new LinkedHashMap<>();
            json.put("node", invocation.operand());
            json.put("draining", true);
            return Result.of(ExitCode.SUCCESS, "node " + invocation.operand() + " is draining", json);
        }
    }

    private static Result unavailable(Invocation invocation, String reason) {
        return Result.error(ExitCode.UNAVAILABLE, "node " + invocation.operand() + ": " + reason);
    }

    private static Duration requestTimeout(Invocation invocation) {
        return invocation.timeout().compareTo(REQUEST_TIMEOUT) < 0 ? invocation.timeout() : REQUEST_TIMEOUT;
    }

    private static <T> T await(Future<T> future) throws InterruptedException {
        try {
            return future.toCompletionStage().toCompletableFuture().get();
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IllegalStateException("request failed unexpectedly", e.getCause());
        }
    }
}
