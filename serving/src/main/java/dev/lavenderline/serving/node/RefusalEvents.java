package dev.lavenderline.serving.node;

import dev.lavenderline.core.overload.RefusalLog;
import dev.lavenderline.core.overload.RefusalReason;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;

/** Log events of refusals. Stateless; as thread-safe as its log. */
record RefusalEvents(EventLog log) implements RefusalLog.Writer {
    @Override
    public void refused(String listener, RefusalReason reason, String peer, long heldBytes) {
        log.event(
                ServingEvent.CALLER_REFUSED,
                "listener",
                listener,
                "reason",
                reason.label(),
                "peer",
                peer,
                "heldBytes",
                heldBytes,
                "further",
                0);
    }

    @Override
    public void refusedFurther(RefusalReason reason, long count) {
        log.event(ServingEvent.CALLER_REFUSED, "reason", reason.label(), "further", count);
    }
}
