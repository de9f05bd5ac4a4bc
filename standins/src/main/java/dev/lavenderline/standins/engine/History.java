package dev.lavenderline.standins.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.Deque;

/** Every request that the engine saw, for judges of a run. Not thread-safe. */
final class History {
    /** One request; times in milliseconds since the epoch, 0 if not reached. */
    static final class Entry {
        String id = "";
        String trafficClass = "";
        String idempotencyKey = "";
        long arrivedMs;
        long firstTokenMs;
        long endedMs;
        String end = "open";
        int tokens;
        int cachedTokens;
        int firstIndex;

        JsonObject toJson() {
            return new JsonObject()
                    .put("id", id)
                    .put("class", trafficClass)
                    .put("idempotency_key", idempotencyKey)
                    .put("arrived_ms", arrivedMs)
                    .put("first_token_ms", firstTokenMs)
                    .put("ended_ms", endedMs)
                    .put("end", end)
                    .put("tokens", tokens)
                    .put("cached_tokens", cachedTokens)
                    .put("first_index", firstIndex);
        }

        void end(String how) {
            if (end.equals("open")) {
                end = how;
                endedMs = System.currentTimeMillis();
            }
        }
    }

    private final int limit;
    private final Deque<Entry> entries = new ArrayDeque<>();
    private long dropped;

    History(int limit) {
        this.limit = limit;
    }

    void add(Entry entry) {
        if (entries.size() >= limit) {
            entries.remove();
            dropped++;
        }
        entries.add(entry);
    }

    JsonObject toJson() {
        JsonArray requests = new JsonArray();
        entries.forEach(entry -> requests.add(entry.toJson()));
        return new JsonObject().put("dropped", dropped).put("requests", requests);
    }
}
