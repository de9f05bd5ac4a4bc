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
    /** Requests that were admitted earlier and wait for another attempt; they take precedence over the queue. */
    final Deque<OnlineRequest> retries = new ArrayDeque<>();

    private final String name;
    private final Locality locality;
    private final SlidingHistogram firstTokens = new SlidingHistogram(SLICE_NANOS, SLICES);
    private final DecayingAverage serviceTime = new DecayingAverage(10e9, 0.05);
    private List<UpstreamState> sameDomain = List.of();
    private List<UpstreamState> sameRegion = List.of();
    private List<UpstreamState> otherRegions = List.of();
    private List<UpstreamState> members = List.of();
    private Deployment deployment;
    private double medianFirstToken;
    private double medianInterval;
    private boolean dispatching;
    private boolean repeatPass;

    UpstreamGroup(String name, Locality locality, int queueBound) {
        this.name = name;
        this.locality = locality;
        this.queue = new FairQueue<>(queueBound);
    }

    void configure(List<UpstreamState> newMembers, Deployment newDeployment) {
        deployment = newDeployment;
        List<UpstreamState> domain = new ArrayList<>();
        List<UpstreamState> region = new ArrayList<>();
        List<UpstreamState> remote = new ArrayList<>();
        for (UpstreamState member : newMembers) {
            Upstream upstream = member.config();
            if (!upstream.region().equals(locality.region())) {
                remote.add(member);
            } else if (upstream.failureDomain().equals(locality.failureDomain())) {
                domain.add(member);
            } else {
                region.add(member);
            }
        }
        sameDomain = List.copyOf(domain);
        sameRegion = List.copyOf(region);
        otherRegions = List.copyOf(remote);
        members = List.copyOf(newMembers);
    }

    String name() {
        return name;
    }

    /** Returns the members in the node's failure domain. */
    List<UpstreamState> sameDomain() {
        return sameDomain;
    }

    /** Returns the members in the node's region, but in other failure domains. */
    List<UpstreamState> sameRegion() {
        return sameRegion;
    }

    /** Returns the members in other regions. */
    List<UpstreamState> otherRegions() {
        return otherRegions;
    }

    List<UpstreamState> members() {
        return members;
    }

    int waiting() {
        return queue.size() + retries.size();
    }

    /** Recomputes the medians over the upstreams with known latency. */
    void updateMedians(long nowNanos) {
        medianFirstToken = median(state -> state.firstToken(nowNanos));
        medianInterval = median(state -> state.interval(nowNanos));
    }

    private double median(ToDoubleFunction<UpstreamState> latency) {
        double[] known =
                members.stream().mapToDouble(latency).filter(value -> value > 0).toArray();
        if (known.length == 0) {
            return 0;
        }
        Arrays.sort(known);
        // Lower median: of two upstreams, the slower one is compared with the faster one.
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

    void recordFirstToken(long nanos, long nowNanos) {
        firstTokens.add(nanos, nowNanos);
    }

    long firstTokenCount(long nowNanos) {
        return firstTokens.count(nowNanos);
    }

    long firstTokenQuantile(double q, long nowNanos) {
        return firstTokens.quantile(q, nowNanos);
    }

    void recordServiceTime(long nanos, long nowNanos) {
        serviceTime.add(nanos, nowNanos);
    }

    /** Returns the average time from sending a request to its complete answer in nanoseconds, 0 if unknown. */
    double serviceTime() {
        return serviceTime.value();
    }

    /** Runs a dispatch pass over the queue; a call during a pass only makes that pass run again. */
    void runDispatchPass(Runnable pass) {
        if (dispatching) {
            repeatPass = true;
            return;
        }
        dispatching = true;
        try {
            do {
                repeatPass = false;
                pass.run();
            } while (repeatPass);
        } finally {
            dispatching = false;
        }
    }
}
