package dev.lavenderline.standins.platform;

/**
 * The place at which an engine sends an answer for the second time, or at which it stops within one. Heads are cut as
 * {@link HeadCut} says.
 */
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
    EVENTS_AGAIN,
    /** Behind a part of a head with another status, which isn't completed: the whole answer to the request. */
    BEHIND_PART_OF_HEAD,
    /** Before the answer to the next request on the connection, cut within its head. */
    CUT_BEFORE_NEXT,
    /** Behind a body, or a chunk, that lacks its last bytes: another answer, with a head longer than these. */
    BEHIND_SHORT_BODY,
    /** Another answer in place of the trailers. */
    IN_TRAILERS,
    /** Another answer on the line of the last chunk, behind its size. */
    BEHIND_LAST_SIZE,
    /** Not at all: the engine stops within the head and closes the connection. */
    CUT_HEAD,
    /** Not at all: the engine leaves out the last fields and the body and closes the connection. */
    FIELDS_MISSING;

    /** Returns whether the plan of an answer with this place leaves its ending to the place. */
    boolean endsAnswer() {
        return compareTo(BEHIND_PART_OF_HEAD) >= 0;
    }
}
