package dev.lavenderline.core.config;

import java.time.Duration;
import java.util.List;

/**
 * A model version with its adapters, served under one name to online and batch traffic.
 *
 * @param name name that callers send in the request field {@code model}
 * @param model name of the model
 * @param version version of the model
 * @param adapters adapters loaded with the model
 * @param firstToken target for the time to the first token of an online request
 * @param betweenTokens target for the interval between tokens of an online request
 * @param timeout maximum duration of one online request
 * @param onlineEnabled whether online requests are accepted
 * @param batchEnabled whether batch jobs are accepted
 * @param batchMaxShare maximum share of an engine's sequences that batch items may occupy, 0 to 1
 */
public record Deployment(
        String name,
        String model,
        String version,
        List<String> adapters,
        Duration firstToken,
        Duration betweenTokens,
        Duration timeout,
        boolean onlineEnabled,
        boolean batchEnabled,
        double batchMaxShare) {
    public Deployment {
        adapters = List.copyOf(adapters);
    }
}
