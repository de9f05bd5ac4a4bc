package dev.lavenderline.standins.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The command that starts a serving node, from the deploy file. Stateless. */
public final class NodeCommand {
    private static final String RUN = "run = ";
    private static final String JAR = "target/lavenderline.jar";

    private NodeCommand() {}

    /** Returns the command of the deploy file; needs the files of its build command. */
    public static List<String> deployed(Path root) throws IOException {
        String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith(RUN))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("deploy/system.toml has no line " + RUN));
        return List.of(run.substring(RUN.length()).replace("\"", "").split(" "));
    }

    /** Returns the command of the deploy file with classes of a class path in place of the jar and its archive. */
    public static List<String> fromClassPath(Path root, String classPath, String mainClass) throws IOException {
        List<String> command = new ArrayList<>();
        for (String word : deployed(root)) {
            if (word.equals("-jar")) {
                command.addAll(List.of("-cp", classPath));
            } else if (word.equals(JAR)) {
                command.add(mainClass);
            } else if (!word.startsWith("-XX:SharedArchiveFile=")) {
                command.add(word);
            }
        }
        command.set(0, ProcessHandle.current().info().command().orElse("java"));
        return command;
    }

    /** Returns the root of the repository: the nearest directory above that has the deploy file. */
    public static Path repositoryRoot() {
        Path directory = Path.of("").toAbsolutePath();
        while (directory != null && !Files.exists(directory.resolve("deploy/system.toml"))) {
            directory = directory.getParent();
        }
        if (directory == null) {
            throw new IllegalStateException("no deploy/system.toml above the working directory");
        }
        return directory;
    }
}
