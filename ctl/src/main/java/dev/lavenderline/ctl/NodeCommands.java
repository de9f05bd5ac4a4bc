package dev.lavenderline.ctl;

import com.google.common.base.Strings;
import dev.lavenderline.ctl.NodeClient.Answer;
import dev.lavenderline.ctl.NodeClient.NoAnswer;
import dev.lavenderline.ctl.NodeClient.NotRunning;
import dev.lavenderline.ctl.NodeClient.State;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Commands on nodes: status, dump and drain. */
final class NodeCommands {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    private NodeCommands() {}

    /**
     * Shows the nodes. With a revision, waits until every live node has it or a later one. A node at whose address
     * nothing listens is not live; a node that gives no proper answer may be, and is waited for.
     */
    static Result status(Invocation invocation, Vertx vertx) throws InterruptedException {
        long end = System.nanoTime() + invocation.timeout().toNanos();
        try (NodeClient client = new NodeClient(vertx, requestTimeout(invocation))) {
            while (true) {
                List<Answer> answers = await(client.states(invocation.nodes()));
                boolean inForce = isInForce(invocation, answers);
                boolean waiting = invocation.revision().isPresent() && !inForce;
                if (waiting && System.nanoTime() + POLL_INTERVAL.toNanos() < end) {
                    Thread.sleep(POLL_INTERVAL.toMillis());
                    continue;
                }
                return describe(invocation, answers, inForce);
            }
        }
    }

    private static boolean isInForce(Invocation invocation, List<Answer> answers) {
        long revision = invocation.revision().orElse(0);
        long live = answers.stream()
                .filter(answer -> !(answer instanceof NotRunning))
                .count();
        return live > 0
                && answers.stream()
                        .allMatch(answer -> answer instanceof NotRunning
                                || (answer instanceof State state && state.revision() >= revision));
    }

    private static Result describe(Invocation invocation, List<Answer> answers, boolean inForce) {
        StringBuilder text = new StringBuilder();
        text.append(row("NODE", "READY", "REVISION"));
        List<Map<String, Object>> nodes = new ArrayList<>();
        for (Answer answer : answers) {
            Map<String, Object> node = new LinkedHashMap<>();
            node.put("node", answer.node());
            if (answer instanceof State state) {
                text.append(row(state.node(), state.isReady() ? "yes" : "no", Long.toString(state.revision())));
                node.put("ready", state.isReady());
                node.put("revision", state.revision());
            } else {
                String error = answer instanceof NoAnswer none ? "no answer: " + none.reason() : "not running";
                text.append(row(answer.node(), "-", error));
                node.put("error", error);
            }
            nodes.add(node);
        }
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("nodes", nodes);
        boolean none = answers.stream().noneMatch(State.class::isInstance);
        int status = none ? ExitCode.UNAVAILABLE : ExitCode.SUCCESS;
        if (invocation.revision().isPresent()) {
            json.put("revision", invocation.revision().getAsLong());
            json.put("in_force", inForce);
            text.append("revision ").append(invocation.revision().getAsLong());
            text.append(inForce ? " is in force on every live node" : " is not in force on every live node");
            status = inForce ? ExitCode.SUCCESS : ExitCode.FAILED;
        }
        return Result.of(status, text.toString().stripTrailing(), json);
    }

    private static String row(String node, String ready, String revision) {
        return Strings.padEnd(node, 22, ' ') + Strings.padEnd(ready, 7, ' ') + revision + "\n";
    }

    static Result dump(Invocation invocation, Vertx vertx) throws InterruptedException {
        try (NodeClient client = new NodeClient(vertx, requestTimeout(invocation))) {
            Answer answer = await(client.states(List.of(invocation.operand()))).get(0);
            if (answer instanceof State state) {
                return Result.of(
                        ExitCode.SUCCESS,
                        state.dump().encodePrettily(),
                        state.dump().getMap());
            }
            return unavailable(invocation, answer instanceof NoAnswer none ? none.reason() : "not running");
        }
    }

    static Result drain(Invocation invocation, Vertx vertx) throws InterruptedException {
        try (NodeClient client = new NodeClient(vertx, requestTimeout(invocation))) {
            String refusal = await(client.drain(invocation.operand()));
            if (!refusal.isEmpty()) {
                return unavailable(invocation, refusal);
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
