package dev.lavenderline.core.routing;

import dev.lavenderline.proto.peer.UpstreamLoad;
import java.util.HashMap;
import java.util.Map;

/** Totals and means of the loads that peers reported for one upstream. */
final class PeerLoads {
    private final Map<String, UpstreamLoad> loads = new HashMap<>();
    private int online;
    private int batch;
    private int activePeers;
    private long outstandingTokens;
    private Mean firstToken = Mean.EMPTY;
    private Mean interval = Mean.EMPTY;

    /** Replaces a node's load and returns the previous one, null if there was none. */
    UpstreamLoad put(String node, UpstreamLoad load) {
        UpstreamLoad previous = loads.put(node, load);
        count(previous, -1);
        count(load, 1);
        return previous;
    }

    void remove(String node) {
        count(loads.remove(node), -1);
    }

    private void count(UpstreamLoad load, int sign) {
        if (load == null) {
            return;
        }
        online += sign * load.getOnlineInFlight();
        batch += sign * load.getBatchInFlight();
        activePeers += load.getOnlineInFlight() + load.getOnlineWaiting() > 0 ? sign : 0;
        outstandingTokens += sign * load.getOutstandingTokens();
        if (load.getOnlineInFlight() > 0) {
            firstToken = firstToken.plus(load.getFirstTokenUs(), sign);
            interval = interval.plus(load.getTokenIntervalUs(), sign);
        }
    }

    int online() {
        return online;
    }

    int batch() {
        return batch;
    }

    /** Returns the number of peers with online requests in flight or waiting. */
    int activePeers() {
        return activePeers;
    }

    long outstandingTokens() {
        return outstandingTokens;
    }

    /** Returns the mean first-token time in nanoseconds of peers with requests in flight, 0 if none reported one. */
    double firstTokenNanos() {
        return firstToken.nanos();
    }

    /** Returns the mean token interval in nanoseconds of peers with requests in flight, 0 if none reported one. */
    double intervalNanos() {
        return interval.nanos();
    }

    private record Mean(long sumMicros, int values) {
        private static final Mean EMPTY = new Mean(0, 0);

        Mean plus(int micros, int sign) {
            return micros == 0 ? this : new Mean(sumMicros + (long) sign * micros, values + sign);
        }

        double nanos() {
            return values == 0 ? 0 : sumMicros * 1000.0 / values;
        }
    }
}
