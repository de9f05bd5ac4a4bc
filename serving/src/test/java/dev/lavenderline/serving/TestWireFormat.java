package dev.lavenderline.serving;

import com.google.protobuf.ByteString;
import dev.lavenderline.core.response.ResponseIntegrity;
import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.serving.jobs.Job;
import dev.lavenderline.serving.jobs.JobSubmission;
import dev.lavenderline.serving.online.BadRequestException;
import dev.lavenderline.serving.online.BatchCall;
import dev.lavenderline.serving.online.RequestInfo;
import dev.lavenderline.serving.online.ResponseInfo;
import dev.lavenderline.serving.online.WireFormat;
import dev.lavenderline.serving.workspaces.Caller;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * A minimal wire format for tests. Headers: id, left (remaining milliseconds), after (last event id), resumes, parts
 * (comma-separated hashes of shared prompt parts), instance, not-run, leaving, limit (requests a second), key, tenant
 * (name of the workspace), prompt (what a request asks for), tokens (of prompt and output), retry (milliseconds). A
 * job's body is a comma-separated list of item ids; those that begin with "crash" have the parts 1 and 666, the others
 * 1. Stateless and thread-safe.
 *
 * @param stampRequired whether the head of a success without stamp is incomplete
 */
public record TestWireFormat(boolean stampRequired) implements WireFormat {
    private static final ResponseIntegrity INTEGRITY = new ResponseIntegrity(List.of("id", "stamp", "Not-Run"));

    /** Creates a format in which no response needs a stamp. */
    public TestWireFormat() {
        this(false);
    }

    private static OptionalLong parseLong(String text) {
        return text == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(text));
    }

    @Override
    public RequestInfo parseRequest(MultiMap headers) {
        OptionalLong left = parseLong(headers.get("left"));
        return new RequestInfo(
                Optional.ofNullable(headers.get("id")).orElse(""),
                left.isPresent() ? Optional.of(Duration.ofMillis(left.getAsLong())) : Optional.empty(),
                parseLong(headers.get("after")),
                Optional.ofNullable(headers.get("resumes")),
                0,
                sharedParts(headers),
                Optional.ofNullable(headers.get("key")),
                tokens(headers, 0),
                tokens(headers, 1),
                0,
                String.valueOf(headers.get("prompt")).hashCode(),
                Duration.ZERO);
    }

    private static int tokens(MultiMap headers, int position) {
        String tokens = headers.get("tokens");
        return tokens == null ? 0 : Integer.parseInt(tokens.split(",", -1)[position]);
    }

    private static List<Long> sharedParts(MultiMap headers) {
        String parts = headers.get("parts");
        return parts == null
                ? List.of()
                : Arrays.stream(parts.split(",", -1)).map(Long::valueOf).toList();
    }

    @Override
    public Optional<BatchCall> parseBatchCall(HttpMethod method, String uri) {
        String[] segments = uri.split("/", -1);
        if (segments.length < 3 || !segments[1].equals("jobs")) {
            return Optional.empty();
        }
        if (method.equals(HttpMethod.DELETE)) {
            return Optional.of(new BatchCall.Cancel(segments[2]));
        }
        return Optional.of(
                segments.length > 3
                        ? new BatchCall.ReadBody(segments[2], segments[3])
                        : new BatchCall.ReadResults(segments[2], 0));
    }

    @Override
    public long submissionBytes(Buffer body) {
        return 2L * body.length();
    }

    @Override
    public boolean mayBeSubmission(Buffer body) {
        return body.toString().contains(",");
    }

    @Override
    public JobSubmission parseSubmission(String jobId, Buffer body) {
        if (body.length() == 0) {
            throw new BadRequestException("no items");
        }
        List<JobItem> items = new ArrayList<>();
        for (String id : body.toString().split(",", -1)) {
            items.add(JobItem.newBuilder()
                    .setId(id)
                    .setPath("/batch/" + id)
                    .setBody(ByteString.copyFromUtf8("body of " + id))
                    .setTokens(100)
                    .build());
        }
        return new JobSubmission(jobId, items);
    }

    @Override
    public Buffer encodeResults(Job job, int position, List<ItemResult> results) {
        StringBuilder text = new StringBuilder();
        results.forEach(
                result -> text.append(job.item(result.getItem()).orElseThrow().getId())
                        .append(result.getCompleted() ? "=" : "!")
                        .append(result.getOutput().replace('\n', '|'))
                        .append('\n'));
        return Buffer.buffer(text.toString());
    }

    @Override
    public MultiMap upstreamHeaders(
            MultiMap callerHeaders,
            String instance,
            Optional<Duration> remaining,
            OptionalLong lastEventId,
            Caller caller) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        headers.add("id", String.valueOf(callerHeaders.get("id")));
        headers.add("instance", instance);
        if (!caller.identified()) {
            Optional.ofNullable(callerHeaders.get("key")).ifPresent(key -> headers.add("key", key));
            Optional.ofNullable(callerHeaders.get("tenant")).ifPresent(name -> headers.add("tenant", name));
        }
        caller.workspaceName().ifPresent(name -> headers.set("tenant", name));
        remaining.ifPresent(time -> headers.add("left", Long.toString(time.toMillis())));
        lastEventId.ifPresent(id -> headers.add("after", Long.toString(id)));
        return headers;
    }

    @Override
    public MultiMap itemHeaders(JobItem item, String host, String instance, OptionalLong lastEventId, Caller caller) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        headers.add("id", item.getId());
        caller.workspaceName().ifPresent(name -> headers.set("tenant", name));
        headers.add("instance", instance);
        lastEventId.ifPresent(id -> headers.add("after", Long.toString(id)));
        return headers;
    }

    @Override
    public List<Long> sharedParts(JobItem item) {
        return item.getId().startsWith("crash") ? List.of(1L, 666L) : List.of(1L);
    }

    @Override
    public ResponseInfo parseResponse(int status, MultiMap headers) {
        String keepAlive = headers.get("keep-alive");
        Duration reuse = keepAlive == null
                ? Duration.ZERO
                : Duration.ofSeconds(Long.parseLong(keepAlive.substring("timeout=".length())));
        String limit = headers.get("limit");
        return new ResponseInfo(
                Optional.ofNullable(headers.get("id")),
                headers.contains("stamp"),
                !stampRequired || status / 100 != 2 || headers.contains("stamp"),
                headers.contains("Not-Run"),
                status == 421,
                headers.contains("leaving"),
                limit == null ? OptionalDouble.empty() : OptionalDouble.of(Double.parseDouble(limit)),
                reuse);
    }

    @Override
    public ResponseIntegrity responseIntegrity() {
        return INTEGRITY;
    }

    @Override
    public MultiMap callerHeaders(MultiMap upstreamHeaders) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        Optional.ofNullable(upstreamHeaders.get("stamp")).ifPresent(stamp -> headers.add("stamp", stamp));
        return headers;
    }

    @Override
    public void setRetryAfter(MultiMap headers, Duration delay) {
        headers.set("retry", Long.toString(delay.toMillis()));
    }
}
