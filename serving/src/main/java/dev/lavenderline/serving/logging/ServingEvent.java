package dev.lavenderline.serving.logging;

import dev.lavenderline.core.LogEvent;

/** Events of the serving program, LL-14xx. The fields of each line are listed in docs/events.md. Thread-safe. */
public enum ServingEvent implements LogEvent {
    STARTED("LL-1400", "process started"),
    READY("LL-1401", "ready for callers"),
    STOPPING("LL-1402", "drain started"),
    STOPPED("LL-1403", "process stops"),
    SETTINGS_RELOADED("LL-1404", "settings read again"),
    CONFIG_IN_FORCE("LL-1410", "configuration in force"),
    CONFIG_MALFORMED("LL-1411", "configuration can't be read; the last one stays in force"),
    UPSTREAM_CHANGED("LL-1412", "upstream added, changed or removed"),
    UPSTREAM_MALFORMED("LL-1413", "entry of an upstream can't be read and is ignored"),
    STORE_LOST("LL-1420", "store does not answer"),
    STORE_REGAINED("LL-1421", "store answers again"),
    HISTORY_EXPIRED("LL-1422", "history expired; reading the newest records"),
    PARTITION_READ("LL-1424", "newest records of a partition read"),
    RECORD_MALFORMED("LL-1423", "record can't be read and is ignored"),
    SCHEDULER_CHANGED("LL-1430", "node uses another scheduler"),
    SCHEDULER_LOST("LL-1431", "scheduler does not answer"),
    NODE_JOINED("LL-1432", "node uses this scheduler"),
    NODE_LEFT("LL-1433", "node does not use this scheduler any more"),
    FRAME_MALFORMED("LL-1434", "frame can't be read; connection closed"),
    UPSTREAM_EJECTED("LL-1440", "upstream gets no requests for a while"),
    UPSTREAM_SLOW("LL-1441", "upstream is slow and gets few requests for a while"),
    REQUEST_ENDED("LL-1450", "request ended"),
    REQUEST_SENT_AGAIN("LL-1451", "request goes to another upstream"),
    ITEM_STARTED("LL-1460", "batch item started"),
    ITEM_ENDED("LL-1461", "run of a batch item ended"),
    JOB_ACCEPTED("LL-1462", "batch job accepted"),
    JOB_REJECTED("LL-1463", "batch job not accepted"),
    JOB_ENDED("LL-1464", "batch job ended by its caller"),
    LINES_DROPPED("LL-1490", "log lines dropped"),
    UNEXPECTED("LL-1499", "unexpected failure");

    private final String code;
    private final String message;

    ServingEvent(String code, String message) {
        this.code = code;
        this.message = message;
    }

    @Override
    public String code() {
        return code;
    }

    @Override
    public String message() {
        return message;
    }
}
