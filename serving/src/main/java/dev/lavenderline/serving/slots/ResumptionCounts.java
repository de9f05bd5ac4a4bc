package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.upstreams.ServedVersions.Cause;
import dev.lavenderline.serving.upstreams.ServedVersions.Conclusion;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Counts the decisions on streams that their callers resume, by cause, and logs the sums and each version that was
 * concluded.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ResumptionCounts {
    /** Shortest time between two lines of the log. */
    static final Duration LOG_INTERVAL = Duration.ofSeconds(10);

    private final Ticker ticker;
    private final EventLog log;
    private final StreamVersions versions;
    private final Map<Cause, Integer> counts = new EnumMap<>(Cause.class);
    private long lastLoggedNanos;

    ResumptionCounts(Ticker ticker, EventLog log, StreamVersions versions) {
        this.ticker = ticker;
        this.versions = versions;
        this.log = log;
        this.lastLoggedNanos = ticker.nanos() - LOG_INTERVAL.toNanos();
    }

    /** Counts a stream that goes on; one that is not resumed by its caller is not counted. */
    void continued(SlotRequest request) {
        request.origin().filter(origin -> !withinResponse(origin)).ifPresent(origin -> {
            Conclusion conclusion = versions.conclude(request.service(), origin.with(Optional.empty()));
            count(conclusion.cause());
            logConcluded(request.node(), request.service(), origin, conclusion);
        });
    }

    private void logConcluded(String peer, String service, StreamOrigin origin, Conclusion conclusion) {
        if (conclusion.cause() != Cause.OBSERVED && conclusion.cause() != Cause.RECORDED) {
            return;
        }
        log.event(
                ServingEvent.VERSION_CONCLUDED,
                "peer",
                peer,
                "service",
                service,
                "resumes",
                origin.attempt().orElse(null),
                "version",
                conclusion.served().map(ServiceVersion::version).orElse(null),
                "cause",
                conclusion.cause(),
                "listAgeMs",
                versions.listAge().toMillis());
    }

    /** Counts a stream that is refused, unless it is not resumed by its caller, and returns the cause. */
    Cause refused(String service, StreamOrigin origin) {
        Cause cause = origin.served().isPresent()
                ? Cause.NO_UPSTREAM
                : versions.conclude(service, origin).cause();
        if (!withinResponse(origin)) {
            count(cause);
        }
        return cause;
    }

    /** Counts the decision on a stream that this node continues itself if it knows the version, and else refuses. */
    void decided(String service, StreamOrigin origin) {
        if (!origin.served().isPresent()) {
            Conclusion conclusion = versions.conclude(service, origin);
            count(conclusion.cause());
            logConcluded(null, service, origin, conclusion);
        }
    }

    /** A stream that goes on within its response has no names, and its version is known. */
    private static boolean withinResponse(StreamOrigin origin) {
        return origin.served().isPresent() && origin.names().isEmpty();
    }

    private void count(Cause cause) {
        counts.merge(cause, 1, Integer::sum);
    }

    /** Logs the decisions since the last line, if there are any and the interval has passed. */
    void logIfDue() {
        long now = ticker.nanos();
        if (counts.isEmpty() || now - lastLoggedNanos < LOG_INTERVAL.toNanos()) {
            return;
        }
        List<Object> fields = new ArrayList<>();
        for (Cause cause : Cause.values()) {
            fields.add(cause.name().toLowerCase(Locale.ROOT));
            fields.add(counts.getOrDefault(cause, 0));
        }
        log.event(ServingEvent.RESUMPTIONS_COUNTED, fields.toArray());
        counts.clear();
        lastLoggedNanos = now;
    }
}
