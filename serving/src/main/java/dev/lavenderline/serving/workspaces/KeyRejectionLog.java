package dev.lavenderline.serving.workspaces;

import dev.lavenderline.core.Timers;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import java.time.Duration;
import java.util.function.BooleanSupplier;

/**
 * Logs requests that are refused because of their key, at most one line per period, and periods in which the
 * configuration is too old to refuse keys.
 *
 * <p>Invariant: each refusal has a line or is counted in the next one. Not thread-safe; confined to the event loop.
 */
public final class KeyRejectionLog {
    static final Duration PERIOD = Duration.ofSeconds(1);

    private final Timers timers;
    private final EventLog log;
    private boolean lineInPeriod;
    private long further;
    private boolean outdated;
    private long refusedWhileOutdated;

    public KeyRejectionLog(Timers timers, EventLog log) {
        this.timers = timers;
        this.log = log;
    }

    /**
     * Records a request answered with 401.
     *
     * @param request id of the caller's attempt
     * @param route name of the route, empty for a call about a job
     */
    public void rejected(String request, String route, CallerCheck.Refusal cause) {
        recheck(() -> false);
        if (lineInPeriod) {
            further++;
            return;
        }
        log.event(ServingEvent.KEY_REJECTED, "request", request, "route", route, "cause", cause, "further", 0);
        startPeriod();
    }

    private void startPeriod() {
        lineInPeriod = true;
        timers.after(PERIOD, this::endPeriod);
    }

    private void endPeriod() {
        lineInPeriod = false;
        if (further > 0) {
            log.event(ServingEvent.KEY_REJECTED, "further", further);
            further = 0;
            startPeriod();
        }
    }

    /** Records a request answered with 503 because a newer configuration may have its key. */
    public void outdated(Duration configAge) {
        refusedWhileOutdated++;
        if (!outdated) {
            outdated = true;
            log.event(ServingEvent.KEYS_NOT_CHECKED, "configAgeMs", configAge);
        }
    }

    /** Ends a period in which the configuration was too old, if it no longer is. */
    public void recheck(BooleanSupplier configOutdated) {
        if (outdated && !configOutdated.getAsBoolean()) {
            outdated = false;
            log.event(ServingEvent.KEYS_CHECKED_AGAIN, "refused", refusedWhileOutdated);
            refusedWhileOutdated = 0;
        }
    }
}
