package dev.lavenderline.serving.logging;

import dev.lavenderline.core.LogEvent;

/** Log events of the serving process, codes LL-14xx. docs/events.md lists the fields of each. Thread-safe. */
public enum ServingEvent implements LogEvent {
    STARTED("LL-1400", "process started"),
    READY("LL-1401", "ready for callers"),
    STOPPING("LL-1402", "drain started"),
    STOPPED("LL-1403", "process exiting"),
    SETTINGS_RELOADED("LL-1404", "settings re-read"),
    CONFIG_IN_FORCE("LL-1410", "configuration applied"),
    CONFIG_MALFORMED("LL-1411", "malformed configuration rejected; the previous one stays in effect"),
    UPSTREAM_CHANGED("LL-1412", "upstream added, changed or removed"),
    UPSTREAM_MALFORMED("LL-1413", "malformed upstream entry ignored"),
    STORE_LOST("LL-1420", "store not responding"),
    STORE_REGAINED("LL-1421", "store responding again"),
    POLL_OVERDUE("LL-1428", "poll of the store overdue; polling on a new connection"),
    HISTORY_EXPIRED("LL-1422", "history expired; reading the newest records"),
    PARTITION_READ("LL-1424", "newest records of a partition read"),
    RECORD_MALFORMED("LL-1423", "malformed record ignored"),
    PAYLOAD_NOT_WRITTEN("LL-1425", "payload of a batch job not written"),
    PAYLOAD_UNREADABLE("LL-1426", "payload of a batch job not read"),
    PAYLOAD_NOT_DELETED("LL-1427", "payloads of a batch job not deleted"),
    SCHEDULER_CHANGED("LL-1430", "node switched to another scheduler"),
    SCHEDULER_LOST("LL-1431", "scheduler not responding"),
    NODE_JOINED("LL-1432", "node joined this scheduler"),
    NODE_LEFT("LL-1433", "node left this scheduler"),
    FRAME_MALFORMED("LL-1434", "malformed frame; connection closed"),
    STREAM_NOT_CONTINUED("LL-1435", "no upstream may continue a stream"),
    RESUMPTIONS_COUNTED("LL-1436", "resumed streams continued and refused"),
    VERSION_CONCLUDED("LL-1437", "resumed stream of unknown origin continues on the only version"),
    REGISTRATION_REMOVED("LL-1438", "registration of a node that is gone removed"),
    UPSTREAM_EJECTED("LL-1440", "upstream ejected temporarily"),
    UPSTREAM_SLOW("LL-1441", "slow upstream temporarily limited to few requests"),
    PROMPT_REJECTED("LL-1442", "requests that crash upstreams are rejected from now on"),
    UPSTREAM_CRASHED("LL-1443", "upstream refuses connections after it lost a request"),
    DOMAIN_OVERFLOW("LL-1444", "failure domain begins or ends to use the upstreams of others"),
    REQUEST_ENDED("LL-1450", "request ended"),
    REQUEST_SENT_AGAIN("LL-1451", "request retried on another upstream"),
    RESPONSE_REJECTED("LL-1452", "response is not that of the request in progress; connection closed"),
    UNSOLICITED_BYTES("LL-1453", "idle connection closed because bytes arrived on it"),
    RESPONSE_JOINED("LL-1454", "response holds parts of another one; connection closed"),
    ITEM_STARTED("LL-1460", "batch item started"),
    ITEM_ENDED("LL-1461", "run of a batch item ended"),
    JOB_ACCEPTED("LL-1462", "batch job accepted"),
    JOB_REJECTED("LL-1463", "batch job rejected"),
    JOB_ENDED("LL-1464", "batch job cancelled by its caller"),
    ITEM_DECLINED("LL-1465", "batch item not run and returned to the scheduler"),
    RESULT_DELAYED("LL-1466", "result of a batch item waits for the store"),
    RESULT_NOT_RECORDED("LL-1467", "result of a batch item not recorded; the item may run again"),
    KEY_REJECTED("LL-1470", "API key rejected"),
    KEYS_NOT_CHECKED("LL-1471", "configuration too old to reject keys; such requests get 503"),
    KEYS_CHECKED_AGAIN("LL-1472", "configuration confirmed; keys are rejected again"),
    CONFIG_TOO_OLD("LL-1475", "configuration too old to check keys; requests with keys are refused"),
    CONFIG_CONFIRMED("LL-1476", "configuration confirmed again; requests with keys are served"),
    QUOTA_REACHED("LL-1477", "requests beyond the quota of a workspace rejected"),
    CALLER_REFUSED("LL-1480", "request refused or connection closed to bound what callers hold"),
    MEMORY_EXHAUSTED("LL-1481", "out of memory; process exiting"),
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
