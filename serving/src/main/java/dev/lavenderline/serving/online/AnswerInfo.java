package dev.lavenderline.serving.online;

import java.time.Duration;
import java.util.Optional;

/**
 * What the head of an upstream's answer says of the exchange. Immutable.
 *
 * @param requestId id of the request that is answered, none if the upstream did not say
 * @param notExecuted whether the upstream did not run the request and never will
 * @param otherInstance whether another upstream has the address
 * @param reuse time for which the connection may be idle afterwards, zero if it is closed
 */
public record AnswerInfo(Optional<String> requestId, boolean notExecuted, boolean otherInstance, Duration reuse) {}
