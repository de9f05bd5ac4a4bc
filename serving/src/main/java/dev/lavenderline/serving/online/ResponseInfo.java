package dev.lavenderline.serving.online;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Protocol details that a node reads from the status and headers of an upstream's response. Immutable.
 *
 * @param requestId id of the request that the response belongs to, empty if the upstream sent none
 * @param signed whether the response bears an upstream's signature
 * @param complete whether the head has all fields that an upstream gives each response of this status; its sender has
 *     stopped within the head otherwise
 * @param notExecuted whether the upstream has not run the request and never will
 * @param misdirected whether another upstream now has the address
 * @param leaving whether the upstream is shutting down and wants no further requests
 * @param limit requests a second that the upstream takes from all nodes together, empty if it names no limit
 * @param keepAlive time for which the connection may stay idle after the response, zero if it closes
 */
public record ResponseInfo(
        Optional<String> requestId,
        boolean signed,
        boolean complete,
        boolean notExecuted,
        boolean misdirected,
        boolean leaving,
        OptionalDouble limit,
        Duration keepAlive) {}
