package dev.lavenderline.serving.workspaces;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of requests and rejections by workspace. Only the workspaces with the most requests are listed by name, so
 * that the number of time series is bounded; the sum over the rest drops when one of them becomes one of these.
 *
 * <p>Thread-safe. The names are those of configured workspaces, which bounds the memory.
 */
public final class WorkspaceMetrics {
    static final int MAX_LISTED = 100;
    private static final String REST = "other";

    /** Why an admitted request was rejected. */
    public enum Rejection {
        /** A limit of its workspace is reached. */
        QUOTA,
        /** No upstream was free in time. */
        CAPACITY
    }

    private final Map<String, Counts> byWorkspace = new ConcurrentHashMap<>();
    private final LongAdder rejectedKeys = new LongAdder();

    private static final class Counts {
        final LongAdder requests = new LongAdder();
        final LongAdder quota = new LongAdder();
        final LongAdder capacity = new LongAdder();

        void add(Counts other) {
            requests.add(other.requests.sum());
            quota.add(other.quota.sum());
            capacity.add(other.capacity.sum());
        }
    }

    private Counts of(String workspace) {
        return byWorkspace.computeIfAbsent(workspace, name -> new Counts());
    }

    /** Counts an admitted request; one that belongs to no workspace is not counted. */
    public void request(Caller caller) {
        if (caller.hasWorkspace()) {
            of(caller.workspace()).requests.increment();
        }
    }

    /** Counts a request that was rejected because of its key. */
    public void keyRejected() {
        rejectedKeys.increment();
    }

    /** Counts the rejection of an admitted request; one that belongs to no workspace is not counted. */
    public void rejected(Caller caller, Rejection cause) {
        if (!caller.hasWorkspace()) {
            return;
        }
        switch (cause) {
            case QUOTA -> of(caller.workspace()).quota.increment();
            case CAPACITY -> of(caller.workspace()).capacity.increment();
        }
    }

    /** Returns the counters in the Prometheus text format, empty if there are none. */
    public String text() {
        StringBuilder text = new StringBuilder();
        long keys = rejectedKeys.sum();
        if (keys > 0) {
            text.append("lavenderline_workspace_rejections_total{cause=\"key\"} ")
                    .append(keys)
                    .append('\n');
        }
        Set<String> listed = new HashSet<>(mostRequests());
        Counts rest = new Counts();
        byWorkspace.forEach((name, counts) -> {
            if (listed.contains(name)) {
                append(text, name, counts);
            } else {
                rest.add(counts);
            }
        });
        if (listed.size() < byWorkspace.size()) {
            append(text, REST, rest);
        }
        return text.toString();
    }

    private List<String> mostRequests() {
        record Sum(String name, long requests) {}
        return byWorkspace.entrySet().stream()
                // A workspace of that name would have the same time series as the rest.
                .filter(entry -> !entry.getKey().equals(REST))
                .map(entry -> new Sum(entry.getKey(), entry.getValue().requests.sum()))
                .sorted(Comparator.comparingLong(Sum::requests).reversed().thenComparing(Sum::name))
                .limit(MAX_LISTED)
                .map(Sum::name)
                .toList();
    }

    private static void append(StringBuilder text, String workspace, Counts counts) {
        String label = "{workspace=\"" + escape(workspace) + "\"";
        text.append("lavenderline_workspace_requests_total")
                .append(label)
                .append("} ")
                .append(counts.requests.sum())
                .append('\n');
        appendRejections(text, label, Rejection.QUOTA, counts.quota.sum());
        appendRejections(text, label, Rejection.CAPACITY, counts.capacity.sum());
    }

    private static void appendRejections(StringBuilder text, String label, Rejection cause, long count) {
        text.append("lavenderline_workspace_rejections_total")
                .append(label)
                .append(",cause=\"")
                .append(cause.name().toLowerCase(Locale.ROOT))
                .append("\"} ")
                .append(count)
                .append('\n');
    }

    private static String escape(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
