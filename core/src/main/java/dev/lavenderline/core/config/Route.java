package dev.lavenderline.core.config;

import java.time.Duration;
import java.util.List;

/**
 * A path prefix whose requests are forwarded to a plain service.
 *
 * @param path path prefix; starts with a slash, but not with {@code /v1/}
 * @param service group of the upstreams of kind {@code SERVICE} that receive the requests
 * @param methods accepted HTTP methods
 * @param repeatable whether a call may be sent more than once
 * @param timeout maximum duration of one call
 */
public record Route(String path, String service, List<String> methods, boolean repeatable, Duration timeout) {
    public Route {
        methods = List.copyOf(methods);
    }
}
