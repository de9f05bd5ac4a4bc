package dev.lavenderline.ctl;

import dev.lavenderline.core.config.ConfigDiff;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Formats configuration differences as text and JSON. */
final class DiffText {
    private DiffText() {}

    static String render(ConfigDiff diff) {
        StringBuilder text = new StringBuilder();
        for (ConfigDiff.Change change : diff.changes()) {
            text.append("  ")
                    .append(change.kind().name().toLowerCase(Locale.ROOT))
                    .append(' ');
            text.append(change.section()).append('.').append(change.name()).append('\n');
            for (ConfigDiff.FieldChange field : change.fields()) {
                text.append("    ").append(field.field()).append(": ");
                text.append(field.from()).append(" -> ").append(field.to()).append('\n');
            }
        }
        return text.toString();
    }

    static Map<String, Object> json(ConfigDiff.Change change) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("kind", change.kind().name().toLowerCase(Locale.ROOT));
        json.put("section", change.section());
        json.put("name", change.name());
        json.put("fields", change.fields());
        return json;
    }
}
