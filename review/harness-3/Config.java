import java.util.ArrayList;
import java.util.List;

/** A configuration as the operator writes it. */
final class Config {
    private static final String LIMITS =
            "\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}";

    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();
    private String tenants = "";

    Config engines(String service) {
        services.add("{\"Name\":\"" + service + "\",\"HealthPath\":\"/health\",\"ConnectionLimit\":230,\"Protocol\":\"h1\","
                + "\"Tls\":false,\"Engine\":{\"Slots\":8,\"KvCacheTokens\":147261}}");
        return this;
    }

    Config plain(String service) {
        services.add("{\"Name\":\"" + service
                + "\",\"HealthPath\":\"/health\",\"ConnectionLimit\":100,\"Protocol\":\"h1\",\"Tls\":false}");
        return this;
    }

    /** Adds a route; {@code service} is the text of its field Service or TrafficSplit. */
    Config route(String name, String host, String prefix, String kind, String service) {
        routes.add("{\"Name\":\"" + name + "\",\"Host\":\"" + host + "\",\"PathPrefix\":\"" + prefix + "\",\"Kind\":\""
                + kind + "\",\"TimeoutMs\":5000,\"TargetLatencyMs\":400,\"CompletionTargetMs\":18000,\"RetentionS\":60,"
                + "\"Priority\":0," + service + ",\"Attempts\":3,\"Public\":false,\"Sticky\":false,\"Resumable\":true,"
                + "\"MaxCount\":1700000,\"GapAimMs\":300}");
        return this;
    }

    Config tenant(String name, String key) {
        tenants = ",\"Tenants\":[{\"Name\":\"" + name + "\",\"ApiKeys\":[\"" + key + "\"]}]";
        return this;
    }

    String version(int version) {
        return "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes) + "],\"Services\":["
                + String.join(",", services) + "]," + LIMITS + tenants + "}";
    }
}
