package dev.lavenderline.ctl;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** A configuration folder that a test changes. */
record Folder(Path path) {
    /** Returns a copy of an example. */
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
