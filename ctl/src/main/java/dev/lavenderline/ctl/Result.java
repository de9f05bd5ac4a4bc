package dev.lavenderline.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a command prints and its exit code.
 *
 * @param status exit code
 * @param text text form without the last line feed
 * @param json content of the JSON form; null to print the text in any case
 * @param error whether the text goes to standard error
 */
record Result(int status, String text, Map<String, Object> json, boolean error) {
    private static final ObjectMapper JSON = new ObjectMapper();

    static Result of(int status, String text, Map<String, Object> json) {
        return new Result(status, text, json, false);
    }

    /** Prints text in both forms. */
    static Result plain(String text) {
        return new Result(ExitCode.SUCCESS, text.stripTrailing(), null, false);
    }

    /** A command that could not do its work. */
    static Result error(int status, String message) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("error", message);
        json.put("status", status);
        return new Result(status, message, json, true);
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
