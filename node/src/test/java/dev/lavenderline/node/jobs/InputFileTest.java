package dev.lavenderline.node.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.http.ApiError;
import dev.lavenderline.http.ModelRequest;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against input files that are accepted although one of their items cannot be found or run later. */
final class InputFileTest {
    private static final String BODY =
            "\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{\"model\":\"m\"}";

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{broken | line 2 is not valid JSON",
                "[] | line 2 is not a JSON object",
                "{\"method\":\"POST\"} | line 2 has no custom_id",
                "{\"custom_id\":\"a\"} | line 2 has url ''",
                "{\"custom_id\":\"a\",\"method\":\"GET\"} | line 2 has method 'GET'",
                "{\"custom_id\":\"a\",\"url\":\"/v1/chat/completions\"} | line 2 has no body with a model",
            })
    void namesTheFaultyLine(String line, String message) {
        Either<ApiError, InputFile> parsed = parse(line("first") + line + "\n");

        assertEquals(400, parsed.getLeft().status());
        assertTrue(
                parsed.getLeft().message().startsWith(message), parsed.getLeft().message());
    }

    @Test
    void refusesRepeatedIdsAndMixedModels() {
        assertEquals(
                "line 3 repeats custom_id 'a'",
                parse(line("a") + line("b") + line("a")).getLeft().message());
        assertEquals(
                "line 2 names model 'other', earlier lines name 'm'",
                parse(line("a") + line("b").replace("\"m\"", "\"other\""))
                        .getLeft()
                        .message());
    }

    @Test
    void refusesAnEmptyFile() {
        assertEquals("empty_file", parse(" \n\r\n").getLeft().code());
    }

    @Test
    void takes160000ItemsAndRefusesOneMore() {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < InputFile.MAX_ITEMS; i++) {
            lines.append(line("item-" + i));
        }

        assertEquals(InputFile.MAX_ITEMS, parse(lines.toString()).get().items());
        ApiError refused = parse(lines + line("one-more")).getLeft();
        assertEquals("too_many_items", refused.code());
        assertTrue(refused.message().contains("160001"), refused.message());
    }

    @Test
    void findsEachItemInItsChunkWithBlankLinesBetween() {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < 10_000; i++) {
            lines.append(line("item-" + i)).append(i % 7 == 0 ? " \r\n" : "");
        }
        InputFile file = parse(lines.toString().stripTrailing()).get();

        assertTrue(file.chunks().size() > 1);
        int item = 0;
        for (InputFile.Chunk chunk : file.chunks()) {
            assertEquals(item, chunk.firstItem());
            String[] data = new String(chunk.data(), StandardCharsets.UTF_8).split("\n");
            assertEquals(chunk.items(), data.length);
            for (String text : data) {
                assertTrue(text.contains("\"item-" + item + "\""), text);
                item++;
            }
        }
        assertEquals(10_000, item);
    }

    @Test
    void derivesTheIdFromWorkspaceAndContent() {
        byte[] content = line("a").getBytes(StandardCharsets.UTF_8);
        String id = InputFile.parse("w", content).get().id();

        assertEquals(id, InputFile.parse("w", content).get().id());
        assertNotEquals(id, InputFile.parse("other", content).get().id());
        assertNotEquals(id, parse(line("b")).get().id());
    }

    @Test
    void refusesAnItemForAnotherEndpointThanTheJobs() {
        byte[] data = line("a").getBytes(StandardCharsets.UTF_8);
        InputFile.Line parsed = InputFile.parseLine(data, 0, data.length).get();

        assertEquals(
                "invalid_endpoint",
                ItemExecutor.parse(0, parsed, ModelRequest.TEXT_PATH).getLeft().getErrorCode());
    }

    private static Either<ApiError, InputFile> parse(String content) {
        return InputFile.parse("w", content.getBytes(StandardCharsets.UTF_8));
    }

    private static String line(String customId) {
        return "{\"custom_id\":\"" + customId + "\"," + BODY + "}\n";
    }
}
