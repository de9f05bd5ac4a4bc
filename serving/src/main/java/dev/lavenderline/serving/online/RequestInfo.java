package dev.lavenderline.serving.online;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller says of a request. Immutable.
 *
 * @param id id of the caller's attempt; empty if the caller sent none
 * @param deadline time for which the caller waits, none if it did not say
 * @param lastEvent last event that the caller has of a stream that it resumes
 * @param sharedPrefix hash of the parts of the prompt that other requests share, 0 if there are none
 * @param longestWait longest time for which the answer may be held back until there is something to tell
 */
public record RequestInfo(
        String id, Optional<Duration> deadline, OptionalLong lastEvent, long sharedPrefix, Duration longestWait) {}
