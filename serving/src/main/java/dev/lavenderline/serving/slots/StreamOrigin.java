package dev.lavenderline.serving.slots;

import dev.lavenderline.serving.upstreams.ServiceVersion;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Where a stream began that a request continues. Immutable.
 *
 * @param served service and software version of the upstream that generated its first event, empty if the node does not
 *     know it
 * @param attempt id of the caller's attempt that received the first event, empty if the caller named none
 * @param content hash of the request, which is the same for each attempt, empty if it is not known
 * @param services services that the route has now, on which the stream may have begun
 * @param beganBeforeNanos monotonic time before which the stream began: when this process received the request
 */
public record StreamOrigin(
        Optional<ServiceVersion> served,
        Optional<String> attempt,
        Optional<String> content,
        Set<String> services,
        long beganBeforeNanos) {
    /** No header, and so no id of an attempt, contains a line end. */
    private static final String CONTENT_MARK = "\n";

    public StreamOrigin {
        services = Set.copyOf(services);
    }

    /** Returns the name of a request's stream for {@link #content}; no attempt has it as its id. */
    public static String contentName(String workspace, long hash) {
        return CONTENT_MARK + workspace + "/" + Long.toHexString(hash);
    }

    /** Returns whether a name stands for the content of a request, which other requests may share. */
    static boolean isContentName(String name) {
        return name.startsWith(CONTENT_MARK);
    }

    /** Returns whether the route of the request has the service on which the stream began. */
    boolean continuableOn(ServiceVersion began) {
        return services.isEmpty() || services.contains(began.service());
    }

    /** Returns the origin of a stream of which it is known where it began. */
    public static StreamOrigin of(ServiceVersion served) {
        return new StreamOrigin(Optional.of(served), Optional.empty(), Optional.empty(), Set.of(), 0);
    }

    /** Returns the origin of a stream that its caller resumes, which is not known. */
    public static StreamOrigin ofAttempt(Optional<String> attempt, long receivedNanos) {
        return new StreamOrigin(Optional.empty(), attempt, Optional.empty(), Set.of(), receivedNanos);
    }

    /** Returns this origin with where the stream was found to have begun, empty if that was not found. */
    public StreamOrigin with(Optional<ServiceVersion> found) {
        return new StreamOrigin(found, attempt, content, services, beganBeforeNanos);
    }

    /** Returns the names under which nodes may have reported the stream, the most specific one first. */
    List<String> names() {
        return Stream.of(attempt, content).flatMap(Optional::stream).toList();
    }
}
