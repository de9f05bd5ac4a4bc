package dev.lavenderline.serving.upstreams;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.IntSupplier;

/**
 * Keeps requests to upstreams within the limits that these name in their responses, with two token buckets for each.
 *
 * <p>One bucket has the rate of the limit; for online requests, upstreams that have tokens in it come first. The other
 * one bounds all requests, batch items included, and allows more than the limit: users count an upstream as overrun
 * from {@link #OVERRUN_FACTOR} times its limit and {@link #OVERRUN_REQUESTS} in {@link #OVERRUN_PERIOD}. A part of that
 * is left for the delays between nodes.
 *
 * <p>Buckets are empty when their limit becomes known, since the upstream has requests already.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class RequestRates {
    /** Period, factor of the limit, and number of further requests from which an upstream counts as overrun. */
    static final Duration OVERRUN_PERIOD = Duration.ofSeconds(4);

    static final double OVERRUN_FACTOR = 1.5;
    static final double OVERRUN_REQUESTS = 5;

    /** Factor of the limit up to which an upstream gets requests if there are enough of them. */
    static final double MAX_FACTOR = 1.4;

    /** Requests left of the allowance for requests that the network or another scheduler delays. */
    static final double SPARE_REQUESTS = 3;

    /** Time for which requests that an upstream did not get count as left of its limit. */
    static final Duration BURST_PERIOD = Duration.ofSeconds(2);

    /** Lowest rate, in requests a second: without a response, a node would not learn that a limit has ended. */
    static final double MIN_RATE = 0.2;

    /** Part of what an upstream may get at once that items leave to online requests. */
    private static final double ONLINE_RESERVE = 0.5;

    private final Ticker ticker;
    private final UpstreamDirectory directory;
    private final IntSupplier sharers;
    private final Map<String, Allowance> allowances = new HashMap<>();

    /** The buckets of an upstream. */
    private final class Allowance {
        private double ofLimit;
        private double left;
        private long updatedNanos;

        Allowance(long nowNanos) {
            updatedNanos = nowNanos;
        }

        void refill(double rate, long nowNanos) {
            double accrued = rate * (nowNanos - updatedNanos) / 1e9;
            updatedNanos = nowNanos;
            ofLimit = Math.min(Math.max(1, rate * BURST_PERIOD.toSeconds()), ofLimit + accrued);
            left = Math.min(atOnce(rate), left + MAX_FACTOR * accrued);
        }

        /** Returns how many requests may come at once, before and after others at the highest rate. */
        double atOnce(double rate) {
            double perPeriod = rate * OVERRUN_PERIOD.toSeconds();
            double requests = (OVERRUN_REQUESTS - SPARE_REQUESTS) / sharers();
            return Math.max(1, (OVERRUN_FACTOR - MAX_FACTOR) * perPeriod + requests);
        }
    }

    /**
     * Creates buckets for a share of the limits.
     *
     * @param sharers returns the number of instances that send requests to the upstreams at the same time
     */
    public RequestRates(Ticker ticker, UpstreamDirectory directory, IntSupplier sharers) {
        this.ticker = ticker;
        this.directory = directory;
        this.sharers = sharers;
    }

    private int sharers() {
        return Math.max(1, sharers.getAsInt());
    }

    private OptionalDouble rate(Upstream upstream) {
        OptionalDouble limit = directory.limit(upstream);
        return limit.isEmpty() ? limit : OptionalDouble.of(Math.max(MIN_RATE, limit.getAsDouble()) / sharers());
    }

    /** Returns the most requests a second that an upstream may get; empty if it names no limit. */
    public OptionalDouble highestRate(Upstream upstream) {
        OptionalDouble rate = rate(upstream);
        return rate.isEmpty() ? rate : OptionalDouble.of(MAX_FACTOR * rate.getAsDouble());
    }

    /** Returns whether an upstream may get an online request now. */
    public boolean mayTake(Upstream upstream) {
        OptionalDouble rate = rate(upstream);
        return rate.isEmpty() || allowance(upstream, rate.getAsDouble()).left >= 1;
    }

    /** Returns whether an upstream has used up what it has said to take. */
    public boolean usedUp(Upstream upstream) {
        OptionalDouble rate = rate(upstream);
        return rate.isPresent() && allowance(upstream, rate.getAsDouble()).ofLimit < 1;
    }

    /** Returns the number of batch items that an upstream may get now besides what is reserved for online requests. */
    public int itemsThatMayStart(Upstream upstream) {
        OptionalDouble rate = rate(upstream);
        if (rate.isEmpty()) {
            return Integer.MAX_VALUE;
        }
        Allowance allowance = allowance(upstream, rate.getAsDouble());
        double reserve = ONLINE_RESERVE * (allowance.atOnce(rate.getAsDouble()) - 1);
        return (int) Math.max(0, allowance.left - reserve);
    }

    private Allowance allowance(Upstream upstream, double rate) {
        long now = ticker.nanos();
        Allowance allowance = allowances.computeIfAbsent(upstream.id(), id -> new Allowance(now));
        allowance.refill(rate, now);
        return allowance;
    }

    /** Records that an upstream gets a request. */
    public void sent(Upstream upstream) {
        OptionalDouble rate = rate(upstream);
        if (rate.isEmpty()) {
            allowances.remove(upstream.id());
            return;
        }
        Allowance allowance = allowance(upstream, rate.getAsDouble());
        allowance.ofLimit = Math.max(0, allowance.ofLimit - 1);
        allowance.left -= 1;
    }

    /** Empties all buckets, because others have sent requests to the upstreams until now. */
    public void restart() {
        allowances.clear();
        directory.all().forEach(this::mayTake);
    }
}
