package dev.lavenderline.standins.platform;

/** The place at which an engine sends an answer for the second time. */
public enum SecondAnswer {
    /** Not at all. */
    NONE,
    /** Before the answer to the next request on the connection. */
    BEFORE_NEXT,
    /** Before the answer to the third request after it on the connection. */
    BEFORE_THIRD,
    /** Right behind the first copy, in the same write. */
    BEHIND,
    /** On the idle connection, some time after the first copy. */
    IDLE,
    /** Between the head and the body of the answer to the next request. */
    AFTER_NEXT_HEAD,
    /** Within the body of the answer to the next request. */
    IN_NEXT_BODY,
    /** Behind the next refusal on the connection. */
    BEHIND_REFUSAL,
    /** In its own body, which ends with its connection: head and body again. */
    IN_OWN_BODY,
    /** In its own body: all events once more. */
    EVENTS_AGAIN
}
