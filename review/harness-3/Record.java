import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Writes what was sent, answered and run, with the time since the start. Thread-safe. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;
    private final List<String> lines = new ArrayList<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        lines.add(text);
        out.printf("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, text);
        out.flush();
    }

    synchronized List<String> lines() {
        return List.copyOf(lines);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
