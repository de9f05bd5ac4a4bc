package dev.lavenderline.serving.logging;

import java.util.Arrays;

/**
 * Runs a task whose failure must not end the loop that runs it, such as the handling of a record, a frame or a request.
 * The failure costs that task and is logged.
 *
 * <p>Errors are handled like exceptions. A {@link StackOverflowError} or an {@link OutOfMemoryError} is usually that of
 * one task whose input is too deep or too large; once the task has been given up, the stack and the heap are as before.
 * A process that ended instead would end again after each restart while the input is in the store. A process that can
 * no longer serve fails its readiness probe, which is the platform's reason to replace it.
 *
 * <p>Stateless and thread-safe.
 */
public final class FailureGuard {
    private FailureGuard() {}

    /**
     * Runs a task; returns whether it completed normally.
     *
     * @param fields fields of the log event that identify the task, alternating names and values
     */
    public static boolean run(EventLog log, Runnable task, Object... fields) {
        try {
            task.run();
            return true;
        } catch (Throwable failure) {
            report(log, failure, fields);
            return false;
        }
    }

    /** Logs a failure that nothing else has handled; a failure to log it is ignored. */
    public static void report(EventLog log, Throwable failure, Object... fields) {
        try {
            Object[] event = Arrays.copyOf(fields, fields.length + 2);
            event[fields.length] = "message";
            event[fields.length + 1] = failure;
            log.event(ServingEvent.UNEXPECTED, event);
        } catch (Throwable ignored) {
            // The log has failed as well, so there is no place left to report either of them.
        }
    }
}
