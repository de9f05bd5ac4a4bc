package dev.lavenderline.serving.online;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import dev.lavenderline.serving.workspaces.WorkspaceMetrics;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Counters and latency timers of the process. Thread-safe. */
public final class ServingMetrics {
    private final MetricRegistry registry = new MetricRegistry();
    private final WorkspaceMetrics workspaces = new WorkspaceMetrics();

    /** Returns the counters by workspace. */
    public WorkspaceMetrics workspaces() {
        return workspaces;
    }

    /** Adds a value that is read whenever the metrics are; called on the thread that reads them. */
    public void gauge(String name, Supplier<Long> value) {
        registry.gauge(name, () -> value::get);
    }

    /** Increments a counter. */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /** Records a duration in nanoseconds. */
    public void time(String name, long nanos) {
        registry.timer(name).update(nanos, TimeUnit.NANOSECONDS);
    }

    /** Returns all counters and timers in the Prometheus text format; durations are in seconds. */
    public String text() {
        StringBuilder text = new StringBuilder();
        registry.getCounters()
                .forEach((name, counter) -> text.append(name)
                        .append("_total ")
                        .append(counter.getCount())
                        .append('\n'));
        registry.getGauges()
                .forEach((name, gauge) ->
                        text.append(name).append(' ').append(gauge.getValue()).append('\n'));
        for (Map.Entry<String, Timer> entry : registry.getTimers().entrySet()) {
            Snapshot snapshot = entry.getValue().getSnapshot();
            appendQuantile(text, entry.getKey(), 0.5, snapshot.getMedian());
            appendQuantile(text, entry.getKey(), 0.95, snapshot.get95thPercentile());
            appendQuantile(text, entry.getKey(), 0.99, snapshot.get99thPercentile());
            text.append(entry.getKey())
                    .append("_count ")
                    .append(entry.getValue().getCount())
                    .append('\n');
        }
        return text.append(workspaces.text()).toString();
    }

    private static void appendQuantile(StringBuilder text, String name, double quantile, double nanos) {
        text.append(String.format(Locale.ROOT, "%s{quantile=\"%.2f\"} %.6f%n", name, quantile, nanos / 1e9));
    }
}
