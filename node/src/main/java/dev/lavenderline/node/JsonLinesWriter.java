package dev.lavenderline.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Throwables;
import java.io.PrintStream;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes log entries to standard output as one JSON object per line, with {@code time}, {@code level},
 * {@code code}, {@code message} and {@code exception}.
 *
 * <p>tinylog's own JSON writer needs a seekable file, and hosts have no disks. Thread-safe.
 */
public final class JsonLinesWriter implements Writer {
    private static final Pattern CODE = Pattern.compile("(LL-[0-9]{4}) (.*)", Pattern.DOTALL);

    private final ObjectMapper mapper = new ObjectMapper();
    private final PrintStream out;

    /**
     * Called by tinylog.
     *
     * @param properties not used
     */
    public JsonLinesWriter(Map<String, String> properties) {
        this(System.out);
    }

    JsonLinesWriter(PrintStream out) {
        this.out = out;
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) throws JsonProcessingException {
        ObjectNode line = mapper.createObjectNode();
        line.put("time", entry.getTimestamp().toInstant().toString());
        line.put("level", entry.getLevel().name().toLowerCase(Locale.ROOT));
        String message = entry.getMessage() == null ? "" : entry.getMessage();
        Matcher matcher = CODE.matcher(message);
        if (matcher.matches()) {
            line.put("code", matcher.group(1));
            message = matcher.group(2);
        }
        line.put("message", message);
        if (entry.getException() != null) {
            line.put("exception", Throwables.getStackTraceAsString(entry.getException()));
        }
        // A single call, so that lines of concurrent threads do not interleave.
        out.println(mapper.writeValueAsString(line));
    }

    @Override
    public void flush() {
        out.flush();
    }

    @Override
    public void close() {
        out.flush();
    }
}
