package dev.lavenderline.standins.engine;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Handles orders to load and unload models and adapters and to change the engine's role. Confined to the engine's event
 * loop.
 */
final class OrderHandler {
    private final EngineOptions options;
    private final Set<Artifact> loaded = new LinkedHashSet<>();
    private final List<Artifact> loading = new ArrayList<>();
    private String role = "mixed";
    private long highestFencingToken;
    private Vertx vertx;

    private record Artifact(String model, String version, String adapter) {
        JsonObject toJson() {
            return new JsonObject().put("model", model).put("version", version).put("adapter", adapter);
        }
    }

    OrderHandler(EngineOptions options) {
        this.options = options;
        for (String name : options.preloaded()) {
            String[] parts = name.split(":", 3);
            loaded.add(new Artifact(parts[0], parts.length > 1 ? parts[1] : "", parts.length > 2 ? parts[2] : ""));
        }
    }

    void start(Vertx vertx) {
        this.vertx = vertx;
    }

    void handleOrder(RoutingContext ctx) {
        JsonObject body;
        String kind;
        Artifact artifact;
        String requestedRole;
        long fencingToken;
        try {
            body = ctx.body().asJsonObject();
            kind = body.getString("kind", "");
            artifact = new Artifact(
                    body.getString("model", ""), body.getString("version", ""), body.getString("adapter", ""));
            requestedRole = body.getString("role", "");
            fencingToken = body.getLong("fencing", 0L);
        } catch (RuntimeException e) {
            EngineServer.error(ctx, 400, "invalid_request", "the order is malformed");
            return;
        }
        if (options.checksFencing() && fencingToken < highestFencingToken) {
            EngineServer.error(
                    ctx, 409, "stale_fencing", "fencing number " + fencingToken + " is below " + highestFencingToken);
            return;
        }
        highestFencingToken = Math.max(highestFencingToken, fencingToken);
        switch (kind) {
            case "load" -> load(artifact);
            case "unload" -> loaded.remove(artifact);
            case "role" -> role = requestedRole;
            default -> {
                EngineServer.error(ctx, 400, "invalid_request", "unknown kind " + kind);
                return;
            }
        }
        ctx.json(new JsonObject().put("fencing", highestFencingToken));
    }

    private void load(Artifact artifact) {
        if (loaded.contains(artifact) || loading.contains(artifact)) {
            return;
        }
        loading.add(artifact);
        vertx.setTimer(Math.max(1, options.loadTimeMs()), timer -> {
            loading.remove(artifact);
            loaded.add(artifact);
        });
    }

    void listLoaded(RoutingContext ctx) {
        JsonArray loadedJson = new JsonArray();
        loaded.forEach(artifact -> loadedJson.add(artifact.toJson()));
        JsonArray loadingJson = new JsonArray();
        loading.forEach(artifact -> loadingJson.add(artifact.toJson()));
        ctx.json(new JsonObject()
                .put("loaded", loadedJson)
                .put("loading", loadingJson)
                .put("role", role)
                .put("fencing", highestFencingToken));
    }
}
