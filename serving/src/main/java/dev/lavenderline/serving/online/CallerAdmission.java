package dev.lavenderline.serving.online;

import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.routes.FleetConfig;
import dev.lavenderline.serving.workspaces.Caller;
import dev.lavenderline.serving.workspaces.CallerCheck;
import dev.lavenderline.serving.workspaces.KeyFreshness;
import dev.lavenderline.serving.workspaces.KeyRejectionLog;
import dev.lavenderline.serving.workspaces.WorkspaceMetrics;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Decides whether a request may run, and answers those that may not.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class CallerAdmission {
    private final Supplier<Duration> configAge;
    private final Duration maxConfigAge;
    private final Duration retryDelay;
    private final KeyRejectionLog rejections;
    private final WorkspaceMetrics metrics;
    private final KeyFreshness keys;
    private final EventLog log;

    /**
     * Creates an admission.
     *
     * @param configAge returns the time since the store confirmed that the configuration is the newest one
     * @param maxConfigAge age above which a newer configuration may have another decision
     * @param retryDelay retry delay for callers that get no decision
     */
    CallerAdmission(CallContext context, Supplier<Duration> configAge, Duration maxConfigAge, Duration retryDelay) {
        this.configAge = configAge;
        this.maxConfigAge = maxConfigAge;
        this.retryDelay = retryDelay;
        this.rejections = new KeyRejectionLog(context.timers(), context.log());
        this.metrics = context.metrics().workspaces();
        this.keys = context.keys();
        this.log = context.log();
    }

    /** Returns whether there may be a newer configuration that this node does not know of. */
    boolean configOutdated() {
        return configAge.get().compareTo(maxConfigAge) > 0;
    }

    /**
     * Returns the caller of a request that may run; answers the request and returns empty otherwise.
     *
     * @param route name of the route, empty for a call about a job
     * @param publicAccess whether the request needs no key
     */
    Optional<Caller> admit(
            FleetConfig config, RequestInfo info, String route, boolean publicAccess, CallerResponse response) {
        Either<CallerCheck.Refusal, Caller> decision =
                CallerCheck.identify(config.workspaces(), info.apiKey(), publicAccess, this::configOutdated);
        if (decision.isRight() && !publicAccess && info.apiKey().isPresent() && !keys.fresh()) {
            logOutdated(info, route);
            response.sendText(503, KeyCheck.OUTDATED_MESSAGE, KeyCheck.RETRY_DELAY);
            return Optional.empty();
        }
        if (decision.isRight()) {
            rejections.recheck(this::configOutdated);
            metrics.request(decision.get());
            return Optional.of(decision.get());
        }
        reject(decision.getLeft(), info, route, response);
        return Optional.empty();
    }

    /** Returns the caller of a request that needs a key, empty if it has no valid one. Answers nothing. */
    Optional<Caller> identify(FleetConfig config, RequestInfo info) {
        return CallerCheck.identify(config.workspaces(), info.apiKey(), false, () -> false)
                .toJavaOptional();
    }

    /** Answers a request whose key does not name a caller; the arguments are those of {@link #admit}. */
    void rejectUnknownCaller(
            FleetConfig config, RequestInfo info, String route, boolean publicAccess, CallerResponse response) {
        Either<CallerCheck.Refusal, Caller> decision =
                CallerCheck.identify(config.workspaces(), info.apiKey(), publicAccess, this::configOutdated);
        if (decision.isLeft()) {
            reject(decision.getLeft(), info, route, response);
        }
    }

    private void reject(CallerCheck.Refusal refusal, RequestInfo info, String route, CallerResponse response) {
        if (refusal == CallerCheck.Refusal.CONFIG_OUTDATED) {
            rejections.outdated(configAge.get());
            response.sendText(503, "not run: the configuration may be outdated", retryDelay);
        } else {
            metrics.keyRejected();
            rejections.rejected(info.id(), route, refusal);
            response.putHeader("WWW-Authenticate", "Bearer");
            response.sendText(401, "the request needs a valid API key");
        }
    }

    private void logOutdated(RequestInfo info, String route) {
        log.event(
                ServingEvent.REQUEST_ENDED,
                "request",
                info.id(),
                "route",
                route,
                "outcome",
                "503 " + KeyCheck.OUTDATED_MESSAGE);
    }
}
