package dev.lavenderline.ctl;

import java.util.Map;
import org.tinylog.configuration.Configuration;

/** Entry point of {@code lavenderctl}. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        // Logs go to standard error, because standard output is for results only.
        Configuration.replace(Map.of(
                "level", "error",
                "writer", "console",
                "writer.stream", "err",
                "writer.format", "{level}: {message}"));
        System.exit(new Lavenderctl(System.getenv(), System.out, System.err).run(args));
    }
}
