package dev.lavenderline.serving.online;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Options that a caller sets in the headers of a request. Immutable.
 *
 * @param id id of the caller's attempt, the empty string if the caller sent none
 * @param timeout time for which the caller waits for the response, empty if the caller set none
 * @param lastEventId id of the last event that the caller received of the stream that it resumes
 * @param resumedAttempt id of the attempt that brought the first event of the stream that the caller resumes
 * @param sharedPrefix hash of the prompt prefix shared with other requests, 0 if there is none
 * @param sharedParts hashes of the parts of the prompt that other requests may share: all but the last
 * @param apiKey key of the caller, empty if it sent none, more than one, or one in another form
 * @param promptTokens tokens of the prompt, 0 if the caller did not say
 * @param maxOutputTokens largest number of tokens of the output, 0 if the caller did not say
 * @param sharedTokens tokens of the parts of the prompt but the last, 0 if the caller did not say
 * @param contentHash hash of the headers that are the same for each attempt of a request and say what it asks for
 * @param maxWait longest time for which a long poll may wait for new results
 */
public record RequestInfo(
        String id,
        Optional<Duration> timeout,
        OptionalLong lastEventId,
        Optional<String> resumedAttempt,
        long sharedPrefix,
        List<Long> sharedParts,
        Optional<String> apiKey,
        int promptTokens,
        int maxOutputTokens,
        int sharedTokens,
        long contentHash,
        Duration maxWait) {
    /** A caller is taken to be retrying if its timeout is below this fraction of the route's timeout. */
    private static final double RETRY_TIMEOUT_RATIO = 0.97;

    public RequestInfo {
        sharedParts = List.copyOf(sharedParts);
    }

    /** Returns the time within which the request ends: the route's, or less if the caller waits for less. */
    Duration limit(Duration routeTimeout) {
        return timeout.filter(callerTimeout -> callerTimeout.compareTo(routeTimeout) < 0)
                .orElse(routeTimeout);
    }

    /** Returns whether the caller has used up a part of the timeout of its route, in an earlier attempt. */
    boolean retries(Duration routeTimeout) {
        return timeout.map(left -> left.toMillis() < RETRY_TIMEOUT_RATIO * routeTimeout.toMillis())
                .orElse(false);
    }

    /** Omits the key, which must not appear in logs and messages. */
    @Override
    public String toString() {
        return "RequestInfo{" + id + "}";
    }
}
