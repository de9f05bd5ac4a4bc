package dev.lavenderline.node.operators;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Writes a metric registry in the Prometheus text exposition format, version 0.0.4. Timers are given in seconds.
 * Stateless.
 */
final class PrometheusText {
    private static final double[] QUANTILES = {0.5, 0.95, 0.99, 0.999};
    private static final double NANOS_PER_SECOND = 1e9;

    private PrometheusText() {}

    static String render(MetricRegistry registry) {
        StringBuilder out = new StringBuilder();
        for (Map.Entry<String, Metric> entry : new TreeMap<>(registry.getMetrics()).entrySet()) {
            append(out, name(entry.getKey()), entry.getValue());
        }
        return out.toString();
    }

    private static String name(String name) {
        return "lavenderline_" + name.replaceAll("[^A-Za-z0-9]+", "_").toLowerCase(Locale.ROOT);
    }

    private static void append(StringBuilder out, String name, Metric metric) {
        if (metric instanceof Gauge<?> gauge) {
            if (gauge.getValue() instanceof Number number) {
                type(out, name, "gauge");
                sample(out, name, "", number.doubleValue());
            }
        } else if (metric instanceof Timer timer) {
            summary(out, name + "_seconds", timer.getSnapshot(), timer.getCount(), NANOS_PER_SECOND);
        } else if (metric instanceof Histogram histogram) {
            summary(out, name, histogram.getSnapshot(), histogram.getCount(), 1);
        } else if (metric instanceof Meter || metric instanceof com.codahale.metrics.Counter) {
            type(out, name, metric instanceof Meter ? "counter" : "gauge");
            sample(out, name, "", ((Counting) metric).getCount());
        }
    }

    private static void summary(StringBuilder out, String name, Snapshot snapshot, long count, double unit) {
        type(out, name, "summary");
        for (double quantile : QUANTILES) {
            sample(out, name, "{quantile=\"" + quantile + "\"}", snapshot.getValue(quantile) / unit);
        }
        sample(out, name + "_count", "", count);
    }

    private static void type(StringBuilder out, String name, String type) {
        out.append("# TYPE ").append(name).append(' ').append(type).append('\n');
    }

    private static void sample(StringBuilder out, String name, String labels, double value) {
        out.append(name).append(labels).append(' ').append(value).append('\n');
    }
}
