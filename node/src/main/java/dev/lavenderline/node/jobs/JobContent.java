package dev.lavenderline.node.jobs;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import dev.lavenderline.core.ledger.BatchFile;
import dev.lavenderline.core.ledger.ChunkLocation;
import dev.lavenderline.core.ledger.Job;
import dev.lavenderline.core.ledger.WorkLedger;
import dev.lavenderline.log.LogError;
import dev.lavenderline.log.RecordReader;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.FileChunk;
import dev.lavenderline.proto.log.ItemResult;
import dev.lavenderline.proto.log.RecordBatch;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Reads the bodies of files and results from the stream {@code work}.
 *
 * <p>Not thread-safe; confined to the node's event loop.
 */
public final class JobContent {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String STREAM = "work";

    private final RecordReader reader;

    public JobContent(RecordReader reader) {
        this.reader = reader;
    }

    /** The successful or the failed results of a job; their file ids are {@code JOB-output} and {@code JOB-errors}. */
    public record Output(String jobId, boolean errors) {
        /** Parses a file id; returns empty if it does not denote results. */
        static Optional<Output> of(String fileId) {
            if (fileId.endsWith("-output")) {
                return Optional.of(new Output(fileId.substring(0, fileId.length() - "-output".length()), false));
            }
            if (fileId.endsWith("-errors")) {
                return Optional.of(new Output(fileId.substring(0, fileId.length() - "-errors".length()), true));
            }
            return Optional.empty();
        }
    }

    /** Reads a chunk of an input file. */
    Uni<Either<LogError, FileChunk>> chunk(ChunkLocation location) {
        return reader.fetch(STREAM, location.offset())
                .map(result -> result.flatMap(batch -> extractChunk(batch, location)));
    }

    private static Either<LogError, FileChunk> extractChunk(RecordBatch batch, ChunkLocation location) {
        if (location.entry() < batch.getEntriesCount()
                && batch.getEntries(location.entry()).hasFileChunk()) {
            return Either.right(batch.getEntries(location.entry()).getFileChunk());
        }
        return Either.left(new LogError.Rejected("no chunk at offset " + location.offset()));
    }

    /** Returns the model that the items of a file request. */
    Uni<Either<LogError, String>> model(BatchFile file) {
        return chunk(file.chunkOf(0))
                .map(result -> result.flatMap(chunk -> line(chunk, 0)
                        .mapLeft(message -> (LogError) new LogError.Rejected(message))
                        .map(line -> line.body().path("model").asText())));
    }

    /** Returns one line of a chunk, by its index within the chunk. */
    static Either<String, InputFile.Line> line(FileChunk chunk, int index) {
        byte[] data = chunk.getData().toByteArray();
        int start = 0;
        for (int i = 0; i < index; i++) {
            start = endOfLine(data, start) + 1;
        }
        return InputFile.parseLine(data, start, endOfLine(data, start));
    }

    private static int endOfLine(byte[] data, int start) {
        int end = start;
        while (end < data.length && data[end] != '\n') {
            end++;
        }
        return end;
    }

    /** Reads an input file. */
    Multi<Buffer> input(BatchFile file) {
        return Multi.createFrom()
                .iterable(file.chunks())
                .onItem()
                .transformToUniAndConcatenate(location -> chunk(location).map(JobContent::orThrow))
                .map(chunk -> Buffer.buffer(chunk.getData().toByteArray()));
    }

    /** Reads the current results of a job, in the order of their records. */
    Multi<Buffer> results(Job job, Output output) {
        TreeSet<Long> offsets = new TreeSet<>();
        for (int item = 0; item < job.items(); item++) {
            job.resultOffset(item).ifPresent(offsets::add);
        }
        return Multi.createFrom()
                .iterable(offsets)
                .onItem()
                .transformToUniAndConcatenate(offset -> reader.fetch(STREAM, offset)
                        .map(JobContent::orThrow)
                        .map(batch -> encodeResults(job, output, offset, batch)))
                .filter(buffer -> buffer.length() > 0);
    }

    private static Buffer encodeResults(Job job, Output output, long offset, RecordBatch batch) {
        Buffer buffer = Buffer.buffer();
        for (ItemResult result : resultsAt(job, offset, batch)) {
            appendLine(buffer, output, job, result);
        }
        return buffer;
    }

    /** Returns those results in the batch at an offset that are current results of the job. */
    static List<ItemResult> resultsAt(Job job, long offset, RecordBatch batch) {
        SortedSet<Integer> items = new TreeSet<>();
        for (Entry entry : batch.getEntriesList()) {
            if (entry.getItemsCompleted().getJobId().equals(job.id())) {
                entry.getItemsCompleted().getResultsList().forEach(result -> items.add(result.getIndex()));
            }
        }
        List<ItemResult> results = new ArrayList<>();
        for (int item : items) {
            boolean isCurrent =
                    item >= 0 && item < job.items() && job.resultOffset(item).orElse(0) == offset;
            if (isCurrent) {
                WorkLedger.resultIn(batch, job.id(), item).ifPresent(results::add);
            }
        }
        return results;
    }

    private static void appendLine(Buffer buffer, Output output, Job job, ItemResult result) {
        boolean isError = !result.getErrorCode().isEmpty();
        if (isError != output.errors()) {
            return;
        }
        ObjectNode line = JSON.createObjectNode();
        line.put("id", job.id() + "-" + result.getIndex());
        line.put("custom_id", result.getCustomId());
        if (result.getStatus() == 0) {
            line.putNull("response");
        } else {
            ObjectNode response = line.putObject("response");
            response.put("status_code", result.getStatus());
            response.put("request_id", result.getRequestId());
            response.set("body", parseBody(result.getBody()));
        }
        if (isError) {
            line.putObject("error").put("code", result.getErrorCode()).put("message", result.getErrorMessage());
        } else {
            line.putNull("error");
        }
        buffer.appendString(line.toString()).appendByte((byte) '\n');
    }

    private static JsonNode parseBody(ByteString bytes) {
        try {
            return JSON.readTree(bytes.newInput());
        } catch (JsonProcessingException e) {
            return JSON.getNodeFactory().textNode(bytes.toString(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new IllegalStateException("cannot read the body of a result from memory", e);
        }
    }

    private static <T> T orThrow(Either<LogError, T> result) {
        return result.getOrElseThrow(error -> new ReadException(error));
    }

    /** Signals that a record could not be read; the HTTP response then ends without its last chunk. */
    public static final class ReadException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        ReadException(LogError error) {
            super("cannot read from the log: " + error);
        }
    }
}
