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
 * Encodes and decodes the HTTP messages that a node exchanges with callers and upstreams.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface WireFormat {
    /** Parses the headers of a caller's request. */
    RequestInfo request(MultiMap headers);

    /** Parses a request about a batch job; returns empty if the method and URI denote none. */
    Optional<BatchCall> batchCall(HttpMethod method, String uri);

    /**
     * Parses a submitted job.
     *
     * @throws BadRequestException if any item is malformed; the whole job is rejected then
     */
    JobSubmission submission(String jobId, Buffer body);

    /** Encodes the results of a job, starting at a position. */
    Buffer results(Job job, int after);

    /** Returns the headers to send to an upstream: the caller's end-to-end headers and those of this protocol. */
    MultiMap upstreamHeaders(MultiMap callerHeaders, String instance, Optional<Duration> left, OptionalLong lastEvent);

    /** Returns the headers to send to an upstream with a batch item. */
    MultiMap itemHeaders(JobItem item, String host, String instance, OptionalLong lastEvent);

    /** Parses the status and headers of an upstream's response. */
    AnswerInfo answer(int status, MultiMap headers);

    /** Returns the end-to-end headers of an upstream's response, to be sent to the caller. */
    MultiMap callerHeaders(MultiMap upstreamHeaders);

    /** Sets the delay after which a rejected caller may retry. */
    void retryAfter(MultiMap headers, Duration delay);
}
