package dev.lavenderline.standins.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.Deque;

/** The latest requests that the engine received, for checks after a run. Not thread-safe. */
final class RequestHistory {
    /** One request; times are in milliseconds since the epoch, 0 if the event has not happened. */
    static final class Entry {
        String id = "";
        String trafficClass = "";
        String idempotencyKey = "";
        long arrivedMs;
        long firstTokenMs;
        long endedMs;
        String outcome = "open";
        int tokens;
        int cachedTokens;
        /** Index of the first generated token; above 0 for a continued completion. */
        int firstTokenIndex;

        JsonObject toJson() {
            return new JsonObject()
                    .put("id", id)
                    .put("class", trafficClass)
                    .put("idempotency_key", idempotencyKey)
                    .put("arrived_ms", arrivedMs)
                    .put("first_token_ms", firstTokenMs)
                    .put("ended_ms", endedMs)
                    .put("end", outcome)
                    .put("tokens", tokens)
                    .put("cached_tokens", cachedTokens)
                    .put("first_index", firstTokenIndex);
        }

        /** Sets the outcome; only the first call has an effect. */
        void end(String outcome) {
            if (this.outcome.equals("open")) {
                this.outcome = outcome;
                endedMs = System.currentTimeMillis();
            }
        }
    }

    private final int limit;
    private final Deque<Entry> entries = new ArrayDeque<>();
    private long dropped;

    RequestHistory(int limit) {
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
