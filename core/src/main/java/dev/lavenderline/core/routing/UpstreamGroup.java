package dev.lavenderline.core.routing;

import dev.lavenderline.core.config.Deployment;
import dev.lavenderline.core.config.Upstream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** The upstreams of one deployment or service with the queue and the recent latency of the group. */
final class UpstreamGroup {
    private static final long SLICE_NANOS = 1_000_000_000L;
    private static final int SLICES = 10;
    private static final double DEFAULT_FIRST_TOKEN_NANOS = 50e6;

    final LongRequestClassifier lengths = new LongRequestClassifier();
    final FairQueue<OnlineRequest> queue;
    /** Requests that were admitted earlier and wait for another attempt; they go before the queue. */
    final Deque<OnlineRequest> retries = new ArrayDeque<>();

    private final String name;
    private final Locality locality;
    private final SlidingHistogram firstTokens = new SlidingHistogram(SLICE_NANOS, SLICES);
    private final DecayingAverage serviceTime = new DecayingAverage(10e9, 0.05);
    private List<UpstreamState> domain = List.of();
    private List<UpstreamState> region = List.of();
    private List<UpstreamState> remote = List.of();
    private List<UpstreamState> all = List.of();
    private Deployment deployment;
    private double medianFirstToken;
    private double medianInterval;
    private boolean draining;
    private boolean drainAgain;

    UpstreamGroup(String name, Locality locality, int queueBound) {
        this.name = name;
        this.locality = locality;
        this.queue = new FairQueue<>(queueBound);
    }

    void configure(List<UpstreamState> members, Deployment newDeployment) {
        deployment = newDeployment;
        List<UpstreamState> sameDomain = new ArrayList<>();
        List<UpstreamState> sameRegion = new ArrayList<>();
        List<UpstreamState> elsewhere = new ArrayList<>();
        for (UpstreamState member : members) {
            Upstream upstream = member.config();
            if (!upstream.region().equals(locality.region())) {
                elsewhere.add(member);
            } else if (upstream.failureDomain().equals(locality.failureDomain())) {
                sameDomain.add(member);
            } else {
                sameRegion.add(member);
            }
        }
        domain = List.copyOf(sameDomain);
        region = List.copyOf(sameRegion);
        remote = List.copyOf(elsewhere);
        all = List.copyOf(members);
    }

    String name() {
        return name;
    }

    /** Returns the members in the node's failure domain. */
    List<UpstreamState> domain() {
        return domain;
    }

    /** Returns the members in the node's region, but in other failure domains. */
    List<UpstreamState> region() {
        return region;
    }

    /** Returns the members in other regions. */
    List<UpstreamState> remote() {
        return remote;
    }

    List<UpstreamState> all() {
        return all;
    }

    int waiting() {
        return queue.size() + retries.size();
    }

    /** Recomputes the medians over the upstreams with known latency. */
    void updateMedians(long nowNanos) {
        medianFirstToken = median(state -> state.firstToken(nowNanos));
        medianInterval = median(state -> state.interval(nowNanos));
    }

    private double median(ToDoubleFunction<UpstreamState> figure) {
        double[] known =
                all.stream().mapToDouble(figure).filter(value -> value > 0).toArray();
        if (known.length == 0) {
            return 0;
        }
        Arrays.sort(known);
        // The lower middle: of two upstreams, the slower one is compared with the faster one.
        return known[(known.length - 1) / 2];
    }

    /** Returns the median of the upstreams' first-token times in nanoseconds, a default if none is known. */
    double typicalFirstToken() {
        if (medianFirstToken > 0) {
            return medianFirstToken;
        }
        return deployment == null
                ? DEFAULT_FIRST_TOKEN_NANOS
                : Math.min(DEFAULT_FIRST_TOKEN_NANOS, deployment.firstToken().toNanos());
    }

    double medianFirstToken() {
        return medianFirstToken;
    }

    /** Returns the median token interval in nanoseconds, 0 if unknown. */
    double medianInterval() {
        return medianInterval;
    }

    void firstToken(long nanos, long nowNanos) {
        firstTokens.add(nanos, nowNanos);
    }

    long firstTokenCount(long nowNanos) {
        return firstTokens.count(nowNanos);
    }

    long firstTokenQuantile(double q, long nowNanos) {
        return firstTokens.quantile(q, nowNanos);
    }

    void served(long nanos, long nowNanos) {
        serviceTime.add(nanos, nowNanos);
    }

    /** Returns the average time from sending a request to its complete answer in nanoseconds, 0 if unknown. */
    double serviceTime() {
        return serviceTime.value();
    }

    /** Runs a pass over the queue; a pass requested while one runs is run after it. */
    void drain(Runnable pass) {
        if (draining) {
            drainAgain = true;
            return;
        }
        draining = true;
        try {
            do {
                drainAgain = false;
                pass.run();
            } while (drainAgain);
        } finally {
            draining = false;
        }
    }
}
