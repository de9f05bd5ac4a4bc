package dev.lavenderline.serving.online;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.slots.LocalPlacement;
import dev.lavenderline.serving.slots.SlotClient;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import dev.lavenderline.serving.workspaces.KeyFreshness;
import java.util.function.IntUnaryOperator;

/**
 * Components of the process that online requests and batch items use. Immutable.
 *
 * @param keys decides whether requests with keys may be admitted or sent
 * @param random returns a random number from 0 (inclusive) to its argument (exclusive)
 */
public record CallContext(
        String node,
        WireFormat wire,
        UpstreamConnections connections,
        UpstreamDirectory directory,
        SlotClient slots,
        LocalPlacement placement,
        Ticker ticker,
        Timers timers,
        EventLog log,
        ServingMetrics metrics,
        KeyFreshness keys,
        IntUnaryOperator random) {}
