package dev.lavenderline.core.ledger;

import com.google.protobuf.ByteString;
import dev.lavenderline.proto.log.CallFinished;
import java.time.Instant;
import java.util.Optional;

/**
 * A call to a non-repeatable route with an idempotency key. Immutable.
 *
 * @param workspace workspace of the caller
 * @param key idempotency key
 * @param route path of the route
 * @param digest SHA-256 of method, path and body
 * @param holder incarnation of the node that is allowed to send the call
 * @param claim offset of the claim, its fencing token
 * @param expires when a call without a recorded outcome counts as unknown; never before the log time of the claim
 * @param finished recorded outcome; empty while the call is in progress
 */
public record KeyedCall(
        String workspace,
        String key,
        String route,
        ByteString digest,
        String holder,
        long claim,
        Instant expires,
        Optional<CallFinished> finished) {}
