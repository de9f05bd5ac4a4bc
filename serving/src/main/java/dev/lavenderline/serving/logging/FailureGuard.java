package dev.lavenderline.serving.logging;

import java.util.Arrays;

/**
 * Runs a task whose failure must not end the loop that runs it, such as the handling of a record, a frame or a request.
 * The failure costs that task and is logged.
 *
 * <p>Errors are handled like exceptions: a {@link StackOverflowError} is usually that of one task whose input is too
 * deep, and once the task has been given up, the stack is as before. An {@link OutOfMemoryError} is that of the whole
 * process: other threads may have met it too, and an event loop that has ended serves nobody. The program therefore
 * ends the process, which the platform replaces; see {@link #endOnMemoryError}.
 *
 * <p>Thread-safe.
 */
public final class FailureGuard {
    private static volatile Runnable endProcess = () -> {};

    private FailureGuard() {}

    /** Sets what ends the process after an {@link OutOfMemoryError} has been logged; by default nothing does. */
    public static void endOnMemoryError(Runnable end) {
        endProcess = end;
    }

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
        if (failure instanceof OutOfMemoryError) {
            endProcess.run();
        }
    }
}
