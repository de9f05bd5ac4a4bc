package dev.lavenderline.serving.online;

import dev.lavenderline.core.response.ResponseIntegrity;
import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.serving.jobs.Job;
import dev.lavenderline.serving.jobs.JobSubmission;
import dev.lavenderline.serving.workspaces.Caller;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Encodes and decodes the HTTP messages that a node exchanges with callers and upstreams.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface WireFormat {
    /** Parses the headers of a caller's request. */
    RequestInfo parseRequest(MultiMap headers);

    /** Parses a request about a batch job; returns empty if the method and URI denote none. */
    Optional<BatchCall> parseBatchCall(HttpMethod method, String uri);

    /** Returns an upper bound of the memory that a submitted job takes besides its body until it has been stored. */
    long submissionBytes(Buffer body);

    /** Returns whether the begin of a body is that of a submitted job. */
    boolean mayBeSubmission(Buffer body);

    /**
     * Parses a submitted job.
     *
     * @throws BadRequestException if any item is malformed; the whole job is rejected then
     */
    JobSubmission parseSubmission(String jobId, Buffer body);

    /** Encodes results of a job, with their outputs, of which the first is at a position. */
    Buffer encodeResults(Job job, int position, List<ItemResult> results);

    /**
     * Returns the headers to send to an upstream: the caller's end-to-end headers and those of this protocol. Those of
     * an identified caller name its workspace, if it has one, and include neither a key nor a workspace that it sent.
     */
    MultiMap upstreamHeaders(
            MultiMap callerHeaders,
            String instance,
            Optional<Duration> remaining,
            OptionalLong lastEventId,
            Caller caller);

    /** Returns the headers to send to an upstream with a batch item; the caller's headers are treated as above. */
    MultiMap itemHeaders(JobItem item, String host, String instance, OptionalLong lastEventId, Caller caller);

    /** Returns hashes of the parts of an item's prompt that other requests may share, as in {@link RequestInfo}. */
    List<Long> sharedParts(JobItem item);

    /** Parses the status and headers of an upstream's response. */
    ResponseInfo parseResponse(int status, MultiMap headers);

    /** Returns the check for responses that hold parts of another one. */
    ResponseIntegrity responseIntegrity();

    /** Returns the end-to-end headers of an upstream's response, to be sent to the caller. */
    MultiMap callerHeaders(MultiMap upstreamHeaders);

    /** Sets the delay after which a rejected caller may retry. */
    void setRetryAfter(MultiMap headers, Duration delay);
}
