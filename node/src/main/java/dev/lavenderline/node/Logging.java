package dev.lavenderline.node;

import java.util.Locale;
import java.util.Map;
import org.tinylog.configuration.Configuration;

/** Configures tinylog. Log lines go to standard output. */
final class Logging {
    private Logging() {}

    /** Applies settings; must be called before the first log line of the process. */
    static void configure(Settings.Logging settings) {
        Configuration.replace(properties(settings));
    }

    static Map<String, String> properties(Settings.Logging settings) {
        String level = settings.level().name().toLowerCase(Locale.ROOT);
        return switch (settings.format()) {
            case TEXT ->
                Map.of(
                        "level", level,
                        "writer", "console",
                        "writer.stream", "out",
                        "writer.format", "{date: yyyy-MM-dd'T'HH:mm:ss.SSSXXX} {level|min-size=5} {message}");
            case JSON -> Map.of("level", level, "writer", "json lines");
        };
    }
}
