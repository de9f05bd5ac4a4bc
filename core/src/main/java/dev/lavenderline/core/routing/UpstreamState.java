package dev.lavenderline.core.routing;

import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.proto.peer.UpstreamLoad;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/** Load and latency of one upstream: this node's attempts in flight, the peers' loads, and load reports. */
final class UpstreamState {
    private static final double NANOS_PER_MICRO = 1000;
    /** Age above which the peers' average token interval replaces the node's own. */
    private static final long OWN_INTERVAL_AGE_NANOS = 1_000_000_000L;

    /** Age above which the peers' average time to the first token replaces the node's own. */
    private static final long OWN_FIRST_TOKEN_AGE_NANOS = 2_000_000_000L;
    /** Age above which averages are not reported to peers. */
    private static final long REPORT_AGE_NANOS = 5_000_000_000L;

    final UpstreamStatistics statistics = new UpstreamStatistics();
    final OutlierDetector outlier = new OutlierDetector();
    final PeerLoads peers = new PeerLoads();
    private final RecentStarts peerStarts = new RecentStarts();
    private final RecentStarts batchStarts = new RecentStarts();
    private final Set<OnlineAttempt> withoutToken = new LinkedHashSet<>();
    private Upstream config;
    private boolean leaving;
    private int online;
    private int longOnline;
    private int streaming;
    private int batch;
    private int reportedWaiting;
    private long outstandingTokens;
    private long lastTokenNanos;
    private int reportedOccupancy;
    private long loadReportNanos = Long.MIN_VALUE;
    private long changeVersion;

    UpstreamState(Upstream config) {
        this.config = config;
    }

    Upstream config() {
        return config;
    }

    String name() {
        return config.name();
    }

    /** Replaces the configuration; an upstream at a new address is a new process with unknown latency. */
    void configure(Upstream newConfig) {
        if (!newConfig.address().equals(config.address())) {
            statistics.reset();
        }
        config = newConfig;
    }

    boolean leaving() {
        return leaving;
    }

    void leaving(boolean value) {
        leaving = value;
    }

    void sent(OnlineAttempt attempt) {
        online++;
        longOnline += attempt.isLong() ? 1 : 0;
        outstandingTokens += attempt.outstandingTokens();
        withoutToken.add(attempt);
    }

    void firstToken(OnlineAttempt attempt, long nowNanos) {
        withoutToken.remove(attempt);
        streaming++;
        lastTokenNanos = nowNanos;
        statistics.recordReceived(nowNanos);
    }

    void tokens(int tokens, long nowNanos) {
        outstandingTokens -= tokens;
        lastTokenNanos = nowNanos;
        statistics.recordReceived(nowNanos);
    }

    void becameLong() {
        longOnline++;
    }

    void ended(OnlineAttempt attempt) {
        online--;
        longOnline -= attempt.isLong() ? 1 : 0;
        outstandingTokens -= attempt.outstandingTokens();
        if (!withoutToken.remove(attempt)) {
            streaming--;
        }
    }

    int online() {
        return online;
    }

    int longOnline() {
        return longOnline;
    }

    int withoutToken() {
        return withoutToken.size();
    }

    int batch() {
        return batch;
    }

    void batch(int items, double firstTokenNanos, long nowNanos) {
        if (items > batch) {
            batchStarts.add(items - batch, firstTokenNanos, nowNanos);
        }
        batch = items;
    }

    /** Records a peer's load; rising counts show requests and batch items that just started. */
    void peerLoad(String node, UpstreamLoad load, double firstTokenNanos, long nowNanos) {
        UpstreamLoad previous = peers.put(node, load);
        if (previous == null) {
            return;
        }
        int requests = load.getOnlineInFlight() - previous.getOnlineInFlight();
        if (requests > 0) {
            peerStarts.add(requests, firstTokenNanos, nowNanos);
        }
        int items = load.getBatchInFlight() - previous.getBatchInFlight();
        if (items > 0) {
            batchStarts.add(items, firstTokenNanos, nowNanos);
        }
    }

    /** Returns the estimated number of requests and batch items of all nodes that wait for their first token. */
    double pending(double firstTokenNanos, long nowNanos) {
        return withoutToken.size()
                + peerStarts.value(firstTokenNanos, nowNanos)
                + batchStarts.value(firstTokenNanos, nowNanos);
    }

    /** Returns the online requests of all nodes on this upstream. */
    int totalOnline() {
        return online + peers.online();
    }

    /** Returns the number of sequences known to be in use; a newer load report can only raise it. */
    int occupancy() {
        int counted = totalOnline() + batch + peers.batch();
        return loadReportNanos > statistics.lastReceivedNanos() ? Math.max(counted, reportedOccupancy) : counted;
    }

    void loadReport(int running, int waiting, long asOfNanos) {
        if (asOfNanos > loadReportNanos) {
            loadReportNanos = asOfNanos;
            reportedOccupancy = running + waiting;
        }
    }

    /** Returns the age of the oldest attempt without a token whose prompt is not long, 0 if there is none. */
    long oldestWithoutTokenNanos(long nowNanos) {
        for (Iterator<OnlineAttempt> attempts = withoutToken.iterator(); attempts.hasNext(); ) {
            OnlineAttempt attempt = attempts.next();
            if (!attempt.hasLongPrompt()) {
                return nowNanos - attempt.sentNanos();
            }
        }
        return 0;
    }

    /** Returns the time to the first token with no requests ahead, else the peers' average, 0 if unknown. */
    double unloadedFirstToken(long nowNanos) {
        // Without recent answers, a slow upstream is still considered slow.
        double own = statistics.unloadedFirstToken(nowNanos, outlier.weight() < 1);
        return own > 0 ? own : peers.firstTokenNanos();
    }

    /** Returns the average time to the first token, a recent own one if possible, else the peers'; 0 if unknown. */
    double firstToken(long nowNanos) {
        double recent = statistics.firstToken(nowNanos, OWN_FIRST_TOKEN_AGE_NANOS);
        if (recent > 0) {
            return recent;
        }
        double reported = peers.firstTokenNanos();
        return reported > 0 ? reported : statistics.firstToken(nowNanos, UpstreamStatistics.MAX_AGE_NANOS);
    }

    /** Returns whether tokens arrived recently at this node or, if it has no open streams, at a peer. */
    boolean intervalKnown(long nowNanos) {
        return nowNanos - statistics.lastReceivedNanos() <= OWN_INTERVAL_AGE_NANOS
                ? statistics.interval(nowNanos) > 0
                : streaming == 0 && peers.intervalNanos() > 0;
    }

    /**
     * Returns the token interval, 0 if unknown. While streams are open, the time since the last token is a lower
     * bound of the interval.
     */
    double interval(long nowNanos) {
        double average = statistics.interval(nowNanos);
        if (nowNanos - statistics.lastReceivedNanos() > OWN_INTERVAL_AGE_NANOS && streaming == 0) {
            double reported = peers.intervalNanos();
            average = reported > 0 ? reported : average;
        }
        return streaming > 0 ? Math.max(average, nowNanos - lastTokenNanos) : average;
    }

    private double ownInterval(long nowNanos) {
        double average = statistics.interval(nowNanos);
        return streaming > 0 ? Math.max(average, nowNanos - lastTokenNanos) : average;
    }

    /** Returns the fraction of the sequences that batch items occupy, 0 to 1. */
    double batchFraction() {
        return Math.min(1.0, (batch + peers.batch()) / (double) Math.max(1, config.maxConcurrent()));
    }

    boolean idle() {
        return online == 0 && batch == 0;
    }

    /** Sets the number of waiting requests reported to peers; returns whether it changed. */
    boolean reportWaiting(int requests) {
        boolean changed = requests != reportedWaiting;
        reportedWaiting = requests;
        return changed;
    }

    void markChanged(long version) {
        changeVersion = version;
    }

    long changeVersion() {
        return changeVersion;
    }

    UpstreamLoad load(long nowNanos) {
        return UpstreamLoad.newBuilder()
                .setUpstream(name())
                .setOnlineInFlight(online)
                .setOnlineWaiting(reportedWaiting)
                .setBatchInFlight(batch)
                .setFirstTokenUs((int) (statistics.firstToken(nowNanos, REPORT_AGE_NANOS) / NANOS_PER_MICRO))
                .setTokenIntervalUs((int) (ownInterval(nowNanos) / NANOS_PER_MICRO))
                .setOutstandingTokens(Math.max(0, outstandingTokens))
                .build();
    }

    UpstreamView view(long nowNanos) {
        return new UpstreamView(
                name(),
                config.group(),
                outlier.weight(),
                leaving,
                online,
                longOnline,
                withoutToken.size(),
                peers.online(),
                batch + peers.batch(),
                Math.max(0, outstandingTokens),
                Duration.ofNanos((long) firstToken(nowNanos)),
                Duration.ofNanos(statistics.firstTokenQuantile(0.95, nowNanos)),
                Duration.ofNanos((long) interval(nowNanos)),
                Duration.ofNanos(statistics.intervalQuantile(0.95, nowNanos)));
    }
}
