package dev.lavenderline.emulator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.HdrHistogram.Histogram;

/** What happened in one run of a pattern. Not thread-safe. */
final class Outcome {
    /** Share of the requests of a kind that counts as its largest. */
    private static final double LARGEST_SHARE = 0.1;

    /** Share of the workspaces that counts as the worst-served ones. */
    private static final double WORST_SHARE = 0.1;

    private static final long MAX_MILLIS = 600_000;

    private final Map<String, Kind> kinds = new LinkedHashMap<>();
    private final Map<Draws.Sender, Served> onlineBySender = new HashMap<>();
    private final Map<Draws.Sender, Served> itemsBySender = new HashMap<>();
    int preemptions;
    int itemRuns;
    long prefilledSharedTokens;
    double onlineSlotMillis;

    /** The most requests in {@link Emulation#LIMIT_WINDOW_MILLIS} at an engine that named a limit. */
    int mostLimitedArrivals;

    /** How the requests, or the batch items, of one sender were served. */
    static final class Served {
        int inTime;
        int late;
        int unserved;
    }

    /** The requests of one kind, or the batch items. */
    static final class Kind {
        final Histogram millis = new Histogram(MAX_MILLIS, 3);
        final Map<Integer, Integer> inTimeBySecond = new LinkedHashMap<>();
        private final List<Request> requests = new ArrayList<>();
        int late;
        int refused;
        int failed;

        private record Request(int tokens, boolean inTime) {}

        void inTime(int tokens, double tookMillis, double atMillis) {
            requests.add(new Request(tokens, true));
            millis.recordValue((long) Math.min(MAX_MILLIS, tookMillis));
            inTimeBySecond.merge((int) (atMillis / 1000), 1, Integer::sum);
        }

        void late(int tokens, double tookMillis) {
            requests.add(new Request(tokens, false));
            millis.recordValue((long) Math.min(MAX_MILLIS, tookMillis));
            late++;
        }

        void refused(int tokens) {
            requests.add(new Request(tokens, false));
            refused++;
        }

        void failed(int tokens) {
            requests.add(new Request(tokens, false));
            failed++;
        }

        int sent() {
            return requests.size();
        }

        int inTime() {
            return (int) requests.stream().filter(Request::inTime).count();
        }

        /** Returns the share of the largest tenth that was in time. */
        double inTimeShareOfLargest() {
            int largest = (int) Math.ceil(requests.size() * LARGEST_SHARE);
            return requests.stream()
                    .sorted(Comparator.comparingInt(Request::tokens).reversed())
                    .limit(largest)
                    .mapToInt(served -> served.inTime() ? 1 : 0)
                    .average()
                    .orElse(0);
        }
    }

    Served online(Draws.Sender sender) {
        return onlineBySender.computeIfAbsent(sender, key -> new Served());
    }

    Served items(Draws.Sender sender) {
        return itemsBySender.computeIfAbsent(sender, key -> new Served());
    }

    /** Returns the shares in time of all workspaces, of the worst-served tenth of them, and of each priority. */
    Map<String, Double> shares() {
        Map<String, Double> shares = new TreeMap<>();
        addShares("streams", onlineBySender, shares);
        addShares("items", itemsBySender, shares);
        return shares;
    }

    private static void addShares(String what, Map<Draws.Sender, Served> bySender, Map<String, Double> shares) {
        if (bySender.keySet().stream().allMatch(Draws.Sender.NONE::equals)) {
            return;
        }
        addShares("share of " + what + " in time", served -> served.inTime, bySender, shares);
        addShares("share of " + what + " served", served -> served.inTime + served.late, bySender, shares);
    }

    private static void addShares(
            String name,
            ToIntFunction<Served> counted,
            Map<Draws.Sender, Served> bySender,
            Map<String, Double> shares) {
        List<Served> worst = bySender.values().stream()
                .sorted(Comparator.comparingDouble(served -> share(List.of(served), counted)))
                .limit((long) Math.ceil(bySender.size() * WORST_SHARE))
                .toList();
        shares.put(name, share(bySender.values(), counted));
        shares.put(name + ", worst", share(worst, counted));
        bySender.keySet().stream().mapToInt(Draws.Sender::priority).distinct().forEach(priority -> {
            List<Served> some = bySender.entrySet().stream()
                    .filter(entry -> entry.getKey().priority() == priority)
                    .map(Map.Entry::getValue)
                    .toList();
            shares.put(name + ", prio " + priority, share(some, counted));
        });
    }

    private static double share(Collection<Served> some, ToIntFunction<Served> counted) {
        int sent = some.stream()
                .mapToInt(served -> served.inTime + served.late + served.unserved)
                .sum();
        return (double) some.stream().mapToInt(counted).sum() / sent;
    }

    Kind kind(String name) {
        return kinds.computeIfAbsent(name, key -> new Kind());
    }

    Map<String, Kind> kinds() {
        return kinds;
    }
}
