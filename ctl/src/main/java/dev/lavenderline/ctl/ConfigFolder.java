package dev.lavenderline.ctl;

import dev.lavenderline.core.config.ConfigParser;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Reads the files of a configuration folder. */
final class ConfigFolder {
    private ConfigFolder() {}

    /**
     * Returns the contents of the configuration files by name. Skips subfolders, hidden files and files of other types.
     * A file over the size limit is truncated to one byte more than the limit, so that the parser rejects it.
     */
    static Either<Result, SortedMap<String, byte[]>> read(String folder) {
        Path path = Path.of(folder);
        if (!Files.isDirectory(path)) {
            return Either.left(Result.error(ExitCode.USAGE, "'" + folder + "' is not a folder"));
        }
        SortedMap<String, byte[]> files = new TreeMap<>();
        try (Stream<Path> entries = Files.list(path)) {
            for (Path entry : entries.toList()) {
                String name = entry.getFileName().toString();
                if (!ConfigParser.isConfigFile(name) || name.startsWith(".") || !Files.isRegularFile(entry)) {
                    continue;
                }
                try (InputStream content = Files.newInputStream(entry)) {
                    files.put(name, content.readNBytes(ConfigParser.MAX_FILE_BYTES + 1));
                }
            }
        } catch (IOException e) {
            return Either.left(Result.error(ExitCode.USAGE, "'" + folder + "' cannot be read: " + e));
        }
        return Either.right(files);
    }
}
