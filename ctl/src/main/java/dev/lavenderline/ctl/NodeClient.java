package dev.lavenderline.ctl;

import dev.lavenderline.core.response.ResponseCodec;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** HTTP client for the operators' endpoints of nodes. Thread-safe. */
final class NodeClient implements AutoCloseable {
    /** The outcome of a state query to a node. */
    sealed interface NodeStatus {
        String node();
    }

    /** The node returned its state dump. */
    record State(String node, JsonObject dump) implements NodeStatus {
        boolean isReady() {
            return dump.getBoolean("ready", false);
        }

        /** Returns the configuration revision, 0 if the node has read none yet. */
        long revision() {
            return dump.getJsonObject("config", new JsonObject()).getLong("revision", 0L);
        }
    }

    /** The connection was refused, so the node is not running. */
    record NotRunning(String node) implements NodeStatus {}

    /** The request failed or the response is invalid; the node may be running. */
    record RequestFailed(String node, String reason) implements NodeStatus {}

    private final WebClient client;
    private final Duration timeout;

    NodeClient(Vertx vertx, Duration timeout) {
        WebClientOptions options =
                new WebClientOptions().setKeepAlive(false).setConnectTimeout((int) timeout.toMillis());
        this.client = WebClient.wrap(ResponseCodec.client(vertx, options, new PoolOptions()), options);
        this.timeout = timeout;
    }

    /** Queries all nodes concurrently and returns their statuses in the same order. The future never fails. */
    Future<List<NodeStatus>> states(List<String> nodes) {
        List<Future<NodeStatus>> statuses = new ArrayList<>();
        nodes.forEach(node -> statuses.add(state(node)));
        return Future.all(statuses)
                .map(all -> statuses.stream().map(Future::result).toList());
    }

    private Future<NodeStatus> state(String node) {
        return send(HttpMethod.GET, node, "/state")
                .map(response -> {
                    if (response.statusCode() != 200) {
                        return (NodeStatus) new RequestFailed(node, "status " + response.statusCode());
                    }
                    State state = new State(node, response.bodyAsJsonObject());
                    // Reads both fields here, so that a dump with a field of the wrong type is a failed request.
                    state.isReady();
                    state.revision();
                    return state;
                })
                .otherwise(error -> failure(node, error));
    }

    /** Asks a node to stop gracefully; returns an empty string or the reason of a failure. The future never fails. */
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

    private static NodeStatus failure(String node, Throwable error) {
        boolean refused = error instanceof ConnectException
                && String.valueOf(error.getMessage()).contains("refused");
        return refused ? new NotRunning(node) : new RequestFailed(node, String.valueOf(error.getMessage()));
    }

    @Override
    public void close() {
        client.close();
    }
}
