package dev.lavenderline.ctl;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * The outcome of one run of lavenderctl.
 *
 * @param out standard output
 * @param err standard error
 */
record Run(int exitCode, String out, String err) {
    static Run of(String... args) {
        return with(Map.of(), args);
    }

    static Run with(Map<String, String> environment, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int exitCode = new Lavenderctl(environment, printStream(out), printStream(err)).run(args);
        return new Run(exitCode, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    private static PrintStream printStream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }
}
