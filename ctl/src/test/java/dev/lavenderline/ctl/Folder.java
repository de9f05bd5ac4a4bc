package dev.lavenderline.ctl;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** A temporary configuration folder that a test can change. */
record Folder(Path path) {
    /** Copies a folder of {@code examples/} to the target. */
    static Folder copyOf(String example, Path target) {
        try (Stream<Path> files = Files.list(Path.of("..", "examples", example))) {
            Files.createDirectories(target);
            for (Path file : files.toList()) {
                Files.copy(file, target.resolve(file.getFileName()));
            }
            return new Folder(target);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Folder write(String name, String content) {
        try {
            Files.writeString(path.resolve(name), content);
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Folder remove(String name) {
        try {
            Files.delete(path.resolve(name));
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public String toString() {
        return path.toString();
    }
}
