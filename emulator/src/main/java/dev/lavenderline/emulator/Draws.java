package dev.lavenderline.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * All random values of a run, drawn before it starts, so that every policy meets the same load.
 *
 * @param requests online requests in order of arrival
 * @param items batch items in order of arrival
 * @param engineSpeeds speed of each engine as a multiple of the mean
 */
record Draws(List<Request> requests, List<Item> items, List<Double> engineSpeeds) {
    /** The sender of a request; the empty name if the pattern has no workspaces. */
    record Sender(String workspace, int priority) {
        static final Sender NONE = new Sender("", 0);
    }

    /** An online request. */
    record Request(LoadPattern.Online kind, double atMillis, int node, long prefix, int outputTokens, Sender sender) {}

    /** A batch item. */
    record Item(int job, int index, double atMillis, double dueMillis, int node, int outputTokens, Sender sender) {}

    static Draws draw(LoadPattern pattern, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        return new Draws(requests(pattern, random), items(pattern, random), speeds(pattern, random));
    }

    private static List<Request> requests(LoadPattern pattern, UniformRandomProvider random) {
        List<Request> requests = new ArrayList<>();
        double end = pattern.durationSeconds() * 1000;
        LoadPattern.Swing swing = pattern.swing();
        for (double from = 0; from < end; ) {
            double to = Math.min(end, from + 1000 * between(random, swing.minSeconds(), swing.maxSeconds()));
            double level = between(random, swing.low(), swing.high());
            for (LoadPattern.Online kind : pattern.online()) {
                double rate = kind.perSecond() * level / 1000 * mostLoad(pattern);
                for (double at = from + exponential(random, rate); at < to; at += exponential(random, rate)) {
                    double sentMillis = at;
                    sender(pattern, at, random)
                            .ifPresent(sender -> requests.add(request(pattern, kind, sentMillis, random, sender)));
                }
            }
            from = to;
        }
        requests.sort(Comparator.comparingDouble(Request::atMillis));
        return List.copyOf(requests);
    }

    /** Returns the largest load of all workspaces together, as a multiple of the pattern's rates. */
    private static double mostLoad(LoadPattern pattern) {
        return pattern.workspaces().isEmpty()
                ? 1
                : pattern.workspaces().stream()
                        .mapToDouble(group -> group.count() * group.share() * Math.max(1, group.factor()))
                        .sum();
    }

    /** Draws the sender of a request out of the largest load; empty if the load is lower at this time. */
    private static Optional<Sender> sender(LoadPattern pattern, double atMillis, UniformRandomProvider random) {
        if (pattern.workspaces().isEmpty()) {
            return Optional.of(Sender.NONE);
        }
        double drawn = random.nextDouble() * mostLoad(pattern);
        for (LoadPattern.Workspace group : pattern.workspaces()) {
            double load = group.load(atMillis);
            if (drawn < load) {
                int number = (int) (drawn / load * group.count());
                return Optional.of(new Sender(group.name() + "-" + number, group.priority()));
            }
            drawn -= load;
        }
        return Optional.empty();
    }

    private static Request request(
            LoadPattern pattern,
            LoadPattern.Online kind,
            double atMillis,
            UniformRandomProvider random,
            Sender sender) {
        long prefix = ((long) pattern.online().indexOf(kind) << 32) + random.nextInt(kind.sharedPrefixes()) + 1;
        int tokens = tokens(kind.events(), kind.tokensPerEvent(), kind.sizeSigma(), random);
        return new Request(kind, atMillis, random.nextInt(pattern.nodes()), prefix, tokens, sender);
    }

    private static List<Item> items(LoadPattern pattern, UniformRandomProvider random) {
        List<Item> items = new ArrayList<>();
        LoadPattern.Batch batch = pattern.batch();
        if (batch.jobsPerSecond() == 0) {
            return List.of();
        }
        double rate = batch.jobsPerSecond() / 1000 * mostLoad(pattern);
        int job = 0;
        for (double at = exponential(random, rate);
                at < pattern.durationSeconds() * 1000;
                at += exponential(random, rate)) {
            Optional<Sender> sender = sender(pattern, at, random);
            if (sender.isEmpty()) {
                continue;
            }
            int node = random.nextInt(pattern.nodes());
            int count = 1 + random.nextInt(2 * batch.itemsPerJob() - 1);
            for (int index = 0; index < count; index++) {
                int tokens = tokens(batch.events(), batch.tokensPerEvent(), batch.sizeSigma(), random);
                items.add(new Item(job, index, at, at + 1000 * batch.dueSeconds(), node, tokens, sender.get()));
            }
            job++;
        }
        return List.copyOf(items);
    }

    private static List<Double> speeds(LoadPattern pattern, UniformRandomProvider random) {
        double spread = pattern.engines().speedSpread();
        return random.doubles(2L * pattern.engines().count())
                .map(value -> 1 - spread + 2 * spread * value)
                .boxed()
                .toList();
    }

    /** Returns an output length whose mean is the given number of events. */
    private static int tokens(int events, int tokensPerEvent, double sigma, UniformRandomProvider random) {
        double normal = ZigguratSampler.NormalizedGaussian.of(random).sample();
        double drawn = events * Math.exp(sigma * normal - sigma * sigma / 2);
        return Math.max(1, (int) Math.round(drawn)) * tokensPerEvent;
    }

    private static double between(UniformRandomProvider random, double low, double high) {
        return low + (high - low) * random.nextDouble();
    }

    /** Returns a time in milliseconds between two events of a Poisson process. */
    private static double exponential(UniformRandomProvider random, double perMilli) {
        return perMilli == 0 ? Double.POSITIVE_INFINITY : -Math.log(1 - random.nextDouble()) / perMilli;
    }
}
