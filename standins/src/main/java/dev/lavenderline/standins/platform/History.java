package dev.lavenderline.standins.platform;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What engines and clients saw on their sockets, by request and by connection.
 *
 * <p>Thread-safe.
 */
public final class History {
    private record Line(double time, String text) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%8.3f  %s", time, text);
        }
    }

    private final long startNanos = System.nanoTime();
    private final Map<String, List<Line>> lines = new ConcurrentHashMap<>();
    private final Map<String, List<EngineRun>> runs = new ConcurrentHashMap<>();
    private final Map<String, String> disturbedRejections = new ConcurrentHashMap<>();

    /** Returns the seconds since the start. */
    public double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Records a line under each of the keys: ids of requests, names of connections. */
    public void record(List<String> keys, String text) {
        Line line = new Line(seconds(), text);
        keys.forEach(key -> lines.computeIfAbsent(key, added -> new CopyOnWriteArrayList<>())
                .add(line));
    }

    void add(EngineRun run) {
        runs.computeIfAbsent(run.requestId(), added -> new CopyOnWriteArrayList<>())
                .add(run);
    }

    /** Returns the runs of a request in the order in which they began. */
    public List<EngineRun> runsOf(String requestId) {
        return List.copyOf(runs.getOrDefault(requestId, List.of()));
    }

    /** Records that the bytes of a rejection were mixed with those of another answer. */
    void disturbedRejection(String requestId, String description) {
        disturbedRejections.put(requestId, description);
    }

    /** Returns how an engine mixed the rejection of a request with another answer; empty if none did. */
    String disturbedRejection(String requestId) {
        return disturbedRejections.getOrDefault(requestId, "");
    }

    /** Returns the ids of all requests that ran. */
    public List<String> requestsRun() {
        return List.copyOf(runs.keySet());
    }

    /** Returns everything known about a request and the connections on which it ran, in order of time. */
    public List<String> of(String requestId) {
        List<String> keys = new ArrayList<>(List.of(requestId));
        runsOf(requestId).forEach(run -> keys.add(run.connection()));
        TreeSet<String> all = new TreeSet<>();
        for (String key : keys) {
            lines.getOrDefault(key, List.of()).forEach(line -> all.add(line.toString()));
        }
        List<String> texts = new ArrayList<>(all);
        runsOf(requestId).forEach(run -> texts.add("          " + run));
        return texts;
    }

    static List<String> keys(String... keys) {
        return Arrays.asList(keys);
    }
}
