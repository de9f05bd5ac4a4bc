package dev.lavenderline.serving.online;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.response.ResponseIntegrity.Defect;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.upstreams.Upstream;
import java.time.Duration;

/**
 * Logs bytes from upstreams that are no response to the request in progress.
 *
 * <p>Invariants: at most {@link #MAX_LINES} lines of each event in a {@link #PERIOD}; each occurrence has a line or is
 * counted in the next one. Not thread-safe; confined to the event loop.
 */
final class UnexpectedResponseLog {
    static final Duration PERIOD = Duration.ofSeconds(1);
    static final int MAX_LINES = 10;

    private final EventLog log;
    private final Limit rejected;
    private final Limit unsolicited;
    private final Limit joined;

    /** Counts the lines of one event in the current period. */
    private static final class Limit {
        private final Ticker ticker;
        private long periodStartNanos;
        private int lines;
        private long further;

        Limit(Ticker ticker) {
            this.ticker = ticker;
            this.periodStartNanos = ticker.nanos();
        }

        boolean allows() {
            long now = ticker.nanos();
            if (now - periodStartNanos >= PERIOD.toNanos()) {
                periodStartNanos = now;
                lines = 0;
            }
            if (lines < MAX_LINES) {
                lines++;
                return true;
            }
            further++;
            return false;
        }

        /** Returns the number of occurrences without a line since the last one. */
        long takeFurther() {
            long count = further;
            further = 0;
            return count;
        }
    }

    UnexpectedResponseLog(Ticker ticker, EventLog log) {
        this.log = log;
        this.rejected = new Limit(ticker);
        this.unsolicited = new Limit(ticker);
        this.joined = new Limit(ticker);
    }

    /**
     * Records a response that is not taken for that of the request in progress.
     *
     * @param status status of the response
     * @param info what its head says
     * @param requests number of requests that the connection has carried, this one included
     */
    void rejected(Upstream upstream, String request, int status, ResponseInfo info, int requests) {
        if (!rejected.allows()) {
            return;
        }
        log.event(
                ServingEvent.RESPONSE_REJECTED,
                "upstream",
                upstream.id(),
                "request",
                request,
                "reason",
                info.requestId().isEmpty() ? "NO_ID" : "OTHER_ID",
                "responseId",
                info.requestId().orElse(null),
                "status",
                status,
                "notExecuted",
                info.notExecuted(),
                "connectionRequests",
                requests,
                "further",
                rejected.takeFurther());
    }

    /**
     * Records a response that holds parts of another one.
     *
     * @param requests number of requests that the connection has carried, this one included
     */
    void joined(Upstream upstream, String request, int status, Defect defect, int requests) {
        if (!joined.allows()) {
            return;
        }
        log.event(
                ServingEvent.RESPONSE_JOINED,
                "upstream",
                upstream.id(),
                "request",
                request,
                "defect",
                defect.kind(),
                "field",
                defect.field(),
                "status",
                status,
                "connectionRequests",
                requests,
                "further",
                joined.takeFurther());
    }

    /**
     * Records bytes on a connection without a request in progress.
     *
     * @param requests number of requests that the connection has carried
     * @param idle time since the last response
     */
    void unsolicited(Upstream upstream, int requests, Duration idle, String message) {
        if (!unsolicited.allows()) {
            return;
        }
        log.event(
                ServingEvent.UNSOLICITED_BYTES,
                "upstream",
                upstream.id(),
                "connectionRequests",
                requests,
                "idleMs",
                idle.toMillis(),
                "message",
                message,
                "further",
                unsolicited.takeFurther());
    }
}
