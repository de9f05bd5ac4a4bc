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
            append(out, metricName(entry.getKey()), entry.getValue());
        }
        return out.toString();
    }

    private static String metricName(String registryName) {
        return "lavenderline_" + registryName.replaceAll("[^A-Za-z0-9]+", "_").toLowerCase(Locale.ROOT);
    }

    private static void append(StringBuilder out, String name, Metric metric) {
        if (metric instanceof Gauge<?> gauge) {
            if (gauge.getValue() instanceof Number number) {
                appendType(out, name, "gauge");
                appendSample(out, name, "", number.doubleValue());
            }
        } else if (metric instanceof Timer timer) {
            appendSummary(out, name + "_seconds", timer.getSnapshot(), timer.getCount(), NANOS_PER_SECOND);
        } else if (metric instanceof Histogram histogram) {
            appendSummary(out, name, histogram.getSnapshot(), histogram.getCount(), 1);
        } else if (metric instanceof Meter || metric instanceof com.codahale.metrics.Counter) {
            appendType(out, name, metric instanceof Meter ? "counter" : "gauge");
            appendSample(out, name, "", ((Counting) metric).getCount());
        }
    }

    private static void appendSummary(StringBuilder out, String name, Snapshot snapshot, long count, double unit) {
        appendType(out, name, "summary");
        for (double quantile : QUANTILES) {
            appendSample(out, name, "{quantile=\"" + quantile + "\"}", snapshot.getValue(quantile) / unit);
        }
        appendSample(out, name + "_count", "", count);
    }

    private static void appendType(StringBuilder out, String name, String type) {
        out.append("# TYPE ").append(name).append(' ').append(type).append('\n');
    }

    private static void appendSample(StringBuilder out, String name, String labels, double value) {
        out.append(name).append(labels).append(' ').append(value).append('\n');
    }
}
