package dev.lavenderline.node;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** Converts metrics to values for the state dump; times are in milliseconds. Stateless. */
final class MetricValues {
    private static final double NANOS_PER_MILLI = 1e6;

    private MetricValues() {}

    static Map<String, Object> of(MetricRegistry registry) {
        Map<String, Object> values = new LinkedHashMap<>();
        new TreeMap<>(registry.getMetrics()).forEach((name, metric) -> values.put(name, value(metric)));
        return values;
    }

    private static Object value(Metric metric) {
        if (metric instanceof Gauge<?> gauge) {
            return gauge.getValue();
        }
        if (metric instanceof Sampling sampling && metric instanceof Counting counting) {
            double unit = metric instanceof Timer ? NANOS_PER_MILLI : 1;
            Snapshot snapshot = sampling.getSnapshot();
            Map<String, Object> summary = new LinkedHashMap<>();
            summary.put("count", counting.getCount());
            summary.put("p50", snapshot.getMedian() / unit);
            summary.put("p99", snapshot.get99thPercentile() / unit);
            return summary;
        }
        if (metric instanceof Counting counting) {
            return counting.getCount();
        }
        return metric.toString();
    }
}
