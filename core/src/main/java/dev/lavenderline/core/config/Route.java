package dev.lavenderline.core.config;

import java.time.Duration;
import java.util.List;

/**
 * A path that is forwarded to a plain service.
 *
 * @param path path prefix, starts with a slash, does not start with {@code /v1/}
 * @param service group of upstreams of kind service
 * @param methods accepted HTTP methods
 * @param repeatable whether a call may be sent more than once
 * @param timeout longest time for one call
 */
public record Route(String path, String service, List<String> methods, boolean repeatable, Duration timeout) {
    public Route {
        methods = List.copyOf(methods);
    }
}
