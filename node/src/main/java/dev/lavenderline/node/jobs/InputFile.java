package dev.lavenderline.node.jobs;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hashing;
import dev.lavenderline.http.ApiError;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A validated input file of a batch job, split into chunks for the log. Immutable; the arrays must not be changed.
 *
 * @param id derived from a hash of workspace and content, so that uploading a file again yields the same id
 * @param bytes size of the content
 * @param items number of lines that are not blank
 * @param chunks consecutive parts, each a whole number of lines
 */
public record InputFile(String id, long bytes, int items, List<Chunk> chunks) {
    /** Largest number of items in one file. */
    public static final int MAX_ITEMS = 160_000;
    /** A chunk ends after the line with which it reaches this size; that line may make it larger. */
    static final int CHUNK_BYTES = 256 * 1024;
    /** Largest line; keeps a chunk below the record limit of the log. */
    static final int MAX_LINE_BYTES = 512 * 1024;

    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final Set<String> ENDPOINTS = Set.of("/v1/chat/completions", "/v1/completions");

    public InputFile {
        chunks = List.copyOf(chunks);
    }

    /** Consecutive lines, each terminated by a line feed. */
    @SuppressWarnings("ArrayRecordComponent")
    public record Chunk(int firstItem, int items, byte[] data) {}

    /** A parsed line. */
    public record Line(String customId, String url, JsonNode body) {}

    /** Validates the content and splits it into chunks; errors name the line. Takes time linear in the size. */
    public static Either<ApiError, InputFile> parse(String workspace, byte[] content) {
        String hash = Hashing.sha256()
                .newHasher()
                .putString(workspace, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putBytes(content)
                .hash()
                .toString();
        return new Parser(content).parse().map(chunks -> {
            int items = chunks.stream().mapToInt(Chunk::items).sum();
            return new InputFile("file-" + hash.substring(0, 32), content.length, items, chunks);
        });
    }

    /** Parses the line in a byte range; the error message continues "line N". */
    public static Either<String, Line> parseLine(byte[] data, int from, int to) {
        JsonNode node;
        try {
            node = JSON.readTree(data, from, to - from);
        } catch (JsonProcessingException e) {
            return Either.left("is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            return Either.left("cannot be read: " + e.getMessage());
        }
        if (!node.isObject()) {
            return Either.left("is not a JSON object");
        }
        String customId = node.path("custom_id").asText("");
        if (customId.isEmpty()) {
            return Either.left("has no custom_id");
        }
        if (!node.path("method").asText("POST").equals("POST")) {
            return Either.left("has method '" + node.path("method").asText() + "', expected POST");
        }
        String url = node.path("url").asText("");
        if (!ENDPOINTS.contains(url)) {
            return Either.left("has url '" + url + "', expected one of "
                    + ENDPOINTS.stream().sorted().toList());
        }
        JsonNode body = node.path("body");
        if (!body.isObject() || body.path("model").asText("").isEmpty()) {
            return Either.left("has no body with a model");
        }
        return Either.right(new Line(customId, url, body));
    }

    private static final class Parser {
        private final byte[] content;
        private final List<Chunk> chunks = new ArrayList<>();
        private final Set<String> customIds = new HashSet<>();
        private Optional<String> model = Optional.empty();
        private int items;
        private int chunkStart;
        private int chunkFirstItem;

        private Parser(byte[] content) {
            this.content = content;
        }

        private Either<ApiError, List<Chunk>> parse() {
            int lineNumber = 0;
            for (int start = 0; start < content.length; ) {
                int end = endOfLine(start);
                lineNumber++;
                if (!isBlank(start, end)) {
                    Optional<ApiError> error = addLine(lineNumber, start, end);
                    if (error.isPresent()) {
                        return Either.left(error.get());
                    }
                }
                start = end + 1;
                if (start - chunkStart >= CHUNK_BYTES) {
                    endChunk(Math.min(start, content.length));
                }
            }
            endChunk(content.length);
            if (items == 0) {
                return Either.left(ApiError.invalid("empty_file", "the file has no items"));
            }
            return Either.right(chunks);
        }

        private Optional<ApiError> addLine(int number, int start, int end) {
            if (end - start > MAX_LINE_BYTES) {
                return error(number, "has " + (end - start) + " bytes, the limit is " + MAX_LINE_BYTES);
            }
            Either<String, Line> line = parseLine(content, start, end);
            if (line.isLeft()) {
                return error(number, line.getLeft());
            }
            items++;
            if (items > MAX_ITEMS) {
                return Optional.of(ApiError.invalid(
                        "too_many_items", "the file has more than " + MAX_ITEMS + " items, first at line " + number));
            }
            if (!customIds.add(line.get().customId())) {
                return error(number, "repeats custom_id '" + line.get().customId() + "'");
            }
            String lineModel = line.get().body().path("model").asText();
            if (model.isPresent() && !model.get().equals(lineModel)) {
                return error(number, "names model '" + lineModel + "', earlier lines name '" + model.get() + "'");
            }
            model = Optional.of(lineModel);
            return Optional.empty();
        }

        private static Optional<ApiError> error(int line, String message) {
            return Optional.of(ApiError.invalid("invalid_line", "line " + line + " " + message));
        }

        private void endChunk(int end) {
            if (items > chunkFirstItem) {
                chunks.add(new Chunk(chunkFirstItem, items - chunkFirstItem, copyWithoutBlankLines(chunkStart, end)));
            }
            chunkStart = end;
            chunkFirstItem = items;
        }

        /** Copies the lines that are not blank, so that line n of a chunk is item firstItem + n. */
        private byte[] copyWithoutBlankLines(int from, int to) {
            byte[] copy = new byte[to - from + 1];
            int length = 0;
            for (int start = from; start < to; ) {
                int end = Math.min(endOfLine(start), to);
                if (!isBlank(start, end)) {
                    System.arraycopy(content, start, copy, length, end - start);
                    length += end - start;
                    copy[length++] = '\n';
                }
                start = end + 1;
            }
            return Arrays.copyOf(copy, length);
        }

        private int endOfLine(int start) {
            int end = start;
            while (end < content.length && content[end] != '\n') {
                end++;
            }
            return end;
        }

        private boolean isBlank(int start, int end) {
            for (int i = start; i < end; i++) {
                if (content[i] != ' ' && content[i] != '\r' && content[i] != '\t') {
                    return false;
                }
            }
            return true;
        }
    }
}
