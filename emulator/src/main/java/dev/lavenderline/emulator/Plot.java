package dev.lavenderline.emulator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Plots the requests served in time by second. */
final class Plot {
    private static final int WIDTH_PIXELS = 1200;
    private static final int HEIGHT_PIXELS = 600;

    private Plot() {}

    /** Writes a PNG file with a line for each policy and kind of request, from the first seed. */
    static void write(Path file, LoadPattern pattern, Map<String, List<Experiment.Result>> byPolicy)
            throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title("Requests in time, first seed")
                .xAxisTitle("second")
                .yAxisTitle("requests")
                .build();
        chart.getStyler().setMarkerSize(0);
        int seconds = (int) Math.ceil(pattern.durationSeconds() + pattern.drainSeconds());
        double[] x = IntStream.range(0, seconds).asDoubleStream().toArray();
        byPolicy.forEach((policy, results) -> results.get(0).outcome().kinds().forEach((name, kind) -> {
            double[] y = IntStream.range(0, seconds)
                    .mapToDouble(second -> kind.inTimeBySecond.getOrDefault(second, 0))
                    .toArray();
            chart.addSeries(policy + ": " + name, x, y);
        }));
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapFormat.PNG);
    }
}
