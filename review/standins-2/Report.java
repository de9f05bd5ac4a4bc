import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the file of a case, with the seconds since its start. Thread-safe. */
final class Report implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintStream file;

    Report(Path path) throws IOException {
        file = new PrintStream(Files.newOutputStream(path), true, StandardCharsets.UTF_8);
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String text) {
        file.printf(Locale.ROOT, "%7.3f %s%n", seconds(), text);
    }

    @Override
    public void close() {
        file.close();
    }
}
