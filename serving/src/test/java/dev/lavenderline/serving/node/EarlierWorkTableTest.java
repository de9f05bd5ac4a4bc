package dev.lavenderline.serving.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against cells of the table in docs/design/earlier-work.md that are empty or name a test that is gone. */
class EarlierWorkTableTest {
    private static final Path ROOT = Path.of("").toAbsolutePath().getParent();
    private static final String HEADING = "## Calls beside changes of the configuration";
    private static final Pattern TEST = Pattern.compile("`([A-Za-z]+Test)\\.([A-Za-z0-9]+)`");

    private static List<List<String>> rows() throws IOException {
        List<String> lines = Files.readAllLines(ROOT.resolve("docs/design/earlier-work.md"));
        return lines.subList(lines.indexOf(HEADING), lines.size()).stream()
                .dropWhile(line -> !line.startsWith("|"))
                .takeWhile(line -> line.startsWith("|"))
                .map(line ->
                        Arrays.stream(line.split("\\|", -1)).map(String::strip).toList())
                .map(cells -> cells.subList(1, cells.size() - 1))
                .toList();
    }

    private static boolean exists(String className, String method) throws IOException {
        try (Stream<Path> files = Files.find(
                ROOT, 12, (path, attributes) -> path.endsWith(className + ".java") && attributes.isRegularFile())) {
            for (Path file : files.toList()) {
                if (Files.readString(file).contains("void " + method + "(")) {
                    return true;
                }
            }
            return false;
        }
    }

    @Test
    void eachCellIsFilledAndItsTestsExist() throws IOException {
        List<List<String>> rows = rows();
        List<String> missing = new ArrayList<>();
        int tests = 0;
        for (List<String> row : rows) {
            assertEquals(rows.get(0).size(), row.size(), row::toString);
            for (String cell : row) {
                assertFalse(cell.isEmpty(), row::toString);
                Matcher named = TEST.matcher(cell);
                while (named.find()) {
                    tests++;
                    if (!exists(named.group(1), named.group(2))) {
                        missing.add(named.group());
                    }
                }
            }
        }
        assertEquals(List.of(), missing);
        assertTrue(rows.size() > 10 && tests > 20, rows.size() + " rows, " + tests + " tests");
    }
}
