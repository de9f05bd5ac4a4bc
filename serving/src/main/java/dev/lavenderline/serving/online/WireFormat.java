package dev.lavenderline.serving.online;

import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.serving.jobs.Job;
import dev.lavenderline.serving.jobs.JobSubmission;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Names and forms of what callers and upstreams exchange with a node.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface WireFormat {
    /** Reads the head of a caller's request. */
    RequestInfo request(MultiMap headers);

    /** Returns the call about a job that a request makes, none if it is a request for a route. */
    Optional<BatchCall> batchCall(HttpMethod method, String uri);

    /**
     * Reads a submitted job.
     *
     * @throws BadRequestException if any item can't be read; nothing of the job is accepted then
     */
    JobSubmission submission(String jobId, Buffer body);

    /** Renders the results of a job from a position on. */
    Buffer results(Job job, int after);

    /** Returns the end-to-end headers of a caller's request for an upstream. */
    MultiMap upstreamHeaders(MultiMap callerHeaders, String instance, Optional<Duration> left, OptionalLong lastEvent);

    /** Returns the headers of an item for an upstream. */
    MultiMap itemHeaders(JobItem item, String host, String instance, OptionalLong lastEvent);

    /** Reads the head of an upstream's answer. */
    AnswerInfo answer(int status, MultiMap headers);

    /** Returns the end-to-end headers of an upstream's answer for the caller. */
    MultiMap callerHeaders(MultiMap upstreamHeaders);

    /** Sets the time after which a rejected caller may come back. */
    void retryAfter(MultiMap headers, Duration delay);
}
