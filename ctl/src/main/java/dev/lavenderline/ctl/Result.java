package dev.lavenderline.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The output of a command and its exit code.
 *
 * @param text text output without the last line feed
 * @param json JSON output; null if there is only text
 * @param error whether the text goes to standard error; JSON always goes to standard output
 */
record Result(int exitCode, String text, Map<String, Object> json, boolean error) {
    private static final ObjectMapper JSON = new ObjectMapper();

    static Result of(int exitCode, String text, Map<String, Object> json) {
        return new Result(exitCode, text, json, false);
    }

    /** Returns a successful result that is printed as text even if JSON was requested. */
    static Result plain(String text) {
        return new Result(ExitCode.SUCCESS, text.stripTrailing(), null, false);
    }

    /** Returns the result of a command that failed with a message. */
    static Result error(int exitCode, String message) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("error", message);
        json.put("status", exitCode);
        return new Result(exitCode, message, json, true);
    }

    void print(boolean asJson, PrintStream out, PrintStream err) {
        if (asJson && json != null) {
            out.println(render(json));
        } else if (error) {
            text.lines().forEach(line -> err.println("lavenderctl: " + line));
        } else {
            out.println(text);
        }
    }

    private static String render(Map<String, Object> json) {
        try {
            return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("result cannot be written as JSON: " + json, e);
        }
    }
}
