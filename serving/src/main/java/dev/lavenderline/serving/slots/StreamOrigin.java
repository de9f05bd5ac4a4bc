package dev.lavenderline.serving.slots;

import java.util.Optional;

/**
 * Where a stream began that a request continues. Immutable.
 *
 * @param version software version of the upstream that generated its first event, empty if the node does not know it
 * @param attempt id of the caller's attempt that received the first event, empty if the caller named none
 */
public record StreamOrigin(Optional<String> version, Optional<String> attempt) {
    /** Returns the origin of a stream whose version is known. */
    public static StreamOrigin ofVersion(String version) {
        return new StreamOrigin(Optional.of(version), Optional.empty());
    }
}
