package dev.lavenderline.core.routing;

/**
 * Properties of an online request that its dispatch depends on.
 *
 * @param id request id, unique within one run of the node
 * @param workspace workspace of the caller
 * @param group deployment, or service of the route
 * @param prefixHash hash of the first part of the prompt, 0 if there is none
 * @param promptTokens estimated prompt length in tokens
 * @param maxTokens largest number of tokens to generate, 0 for calls to plain services
 * @param deadlineNanos time on {@link dev.lavenderline.core.Ticker#nanos()} by which the answer must be complete
 * @param repeatable whether the request may be sent more than once
 */
public record RequestProfile(
        String id,
        String workspace,
        String group,
        long prefixHash,
        int promptTokens,
        int maxTokens,
        long deadlineNanos,
        boolean repeatable) {}
