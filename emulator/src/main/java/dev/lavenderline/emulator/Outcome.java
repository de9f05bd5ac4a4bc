package dev.lavenderline.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What happened in one run of a pattern. Not thread-safe. */
final class Outcome {
    /** Share of the requests of a kind that counts as its largest. */
    private static final double LARGEST_SHARE = 0.1;

    private static final long MAX_MILLIS = 600_000;

    private final Map<String, Kind> kinds = new LinkedHashMap<>();
    int preemptions;
    int itemRuns;
    long prefilledSharedTokens;
    double onlineSlotMillis;

    /** The most requests in {@link Emulation#LIMIT_WINDOW_MILLIS} at an engine that named a limit. */
    int mostLimitedArrivals;

    /** The requests of one kind, or the batch items. */
    static final class Kind {
        final Histogram millis = new Histogram(MAX_MILLIS, 3);
        final Map<Integer, Integer> inTimeBySecond = new LinkedHashMap<>();
        private final List<Served> requests = new ArrayList<>();
        int late;
        int refused;
        int failed;

        private record Served(int tokens, boolean inTime) {}

        void inTime(int tokens, double tookMillis, double atMillis) {
            requests.add(new Served(tokens, true));
            millis.recordValue((long) Math.min(MAX_MILLIS, tookMillis));
            inTimeBySecond.merge((int) (atMillis / 1000), 1, Integer::sum);
        }

        void late(int tokens, double tookMillis) {
            requests.add(new Served(tokens, false));
            millis.recordValue((long) Math.min(MAX_MILLIS, tookMillis));
            late++;
        }

        void refused(int tokens) {
            requests.add(new Served(tokens, false));
            refused++;
        }

        void failed(int tokens) {
            requests.add(new Served(tokens, false));
            failed++;
        }

        int sent() {
            return requests.size();
        }

        int inTime() {
            return (int) requests.stream().filter(Served::inTime).count();
        }

        /** Returns the share of the largest tenth that was in time. */
        double inTimeShareOfLargest() {
            int largest = (int) Math.ceil(requests.size() * LARGEST_SHARE);
            return requests.stream()
                    .sorted(Comparator.comparingInt(Served::tokens).reversed())
                    .limit(largest)
                    .mapToInt(served -> served.inTime() ? 1 : 0)
                    .average()
                    .orElse(0);
        }
    }

    Kind kind(String name) {
        return kinds.computeIfAbsent(name, key -> new Kind());
    }

    Map<String, Kind> kinds() {
        return kinds;
    }
}
