package dev.lavenderline.ctl;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Client of the operators' endpoint of nodes. Thread-safe. */
final class NodeClient implements AutoCloseable {
    /** What a node answered. */
    sealed interface Answer {
        String node();
    }

    /** The node answered with its state dump. */
    record State(String node, JsonObject dump) implements Answer {
        boolean isReady() {
            return dump.getBoolean("ready", false);
        }

        /** Returns the configuration revision, 0 if the node has read none yet. */
        long revision() {
            return dump.getJsonObject("config", new JsonObject()).getLong("revision", 0L);
        }
    }

    /** Nothing listens at the address, so the node does not run. */
    record NotRunning(String node) implements Answer {}

    /** The node did not answer properly; it may run. */
    record NoAnswer(String node, String reason) implements Answer {}

    private final WebClient client;
    private final Duration timeout;

    NodeClient(Vertx vertx, Duration timeout) {
        this.client = WebClient.create(
                vertx, new WebClientOptions().setKeepAlive(false).setConnectTimeout((int) timeout.toMillis()));
        this.timeout = timeout;
    }

    /** Asks all nodes at once; the answers are in the same order. The future never fails. */
    Future<List<Answer>> states(List<String> nodes) {
        List<Future<Answer>> answers = new ArrayList<>();
        nodes.forEach(node -> answers.add(state(node)));
        return Future.all(answers)
                .map(all -> answers.stream().map(Future::result).toList());
    }

    private Future<Answer> state(String node) {
        return send(HttpMethod.GET, node, "/state")
                .map(response -> {
                    if (response.statusCode() != 200) {
                        return (Answer) new NoAnswer(node, "status " + response.statusCode());
                    }
                    State state = new State(node, response.bodyAsJsonObject());
                    // Reads both fields, so that a dump of another form is no answer.
                    state.isReady();
                    state.revision();
                    return state;
                })
                .otherwise(error -> failure(node, error));
    }

    /** Starts a graceful stop; an empty text means that the node accepted. The future never fails. */
    Future<String> drain(String node) {
        return send(HttpMethod.POST, node, "/drain")
                .map(response -> response.statusCode() / 100 == 2 ? "" : "status " + response.statusCode())
                .otherwise(error -> String.valueOf(error.getMessage()));
    }

    private Future<HttpResponse<Buffer>> send(HttpMethod method, String node, String path) {
        return client.requestAbs(method, "http://" + node + path)
                .timeout(timeout.toMillis())
                .send();
    }

    private static Answer failure(String node, Throwable error) {
        boolean refused = error instanceof ConnectException
                && String.valueOf(error.getMessage()).contains("refused");
        return refused ? new NotRunning(node) : new NoAnswer(node, String.valueOf(error.getMessage()));
    }

    @Override
    public void close() {
        client.close();
    }
}
