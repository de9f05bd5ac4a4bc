package dev.lavenderline.ctl;

import com.google.protobuf.ByteString;
import dev.lavenderline.proto.log.ConfigFile;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * The files that differ between the current configuration and a folder.
 *
 * @param files the entries for a {@code ConfigChange}: new contents and removals
 */
record FileChanges(List<String> added, List<String> changed, List<String> removed, List<ConfigFile> files) {
    static FileChanges between(SortedMap<String, byte[]> current, SortedMap<String, byte[]> folder) {
        List<String> added = new ArrayList<>();
        List<String> changed = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        List<ConfigFile> files = new ArrayList<>();
        folder.forEach((name, content) -> {
            byte[] before = current.get(name);
            if (before != null && Arrays.equals(before, content)) {
                return;
            }
            (before == null ? added : changed).add(name);
            files.add(ConfigFile.newBuilder()
                    .setName(name)
                    .setContent(ByteString.copyFrom(content))
                    .build());
        });
        current.keySet().stream().filter(name -> !folder.containsKey(name)).forEach(name -> {
            removed.add(name);
            files.add(ConfigFile.newBuilder().setName(name).setRemoved(true).build());
        });
        return new FileChanges(added, changed, removed, files);
    }

    boolean isEmpty() {
        return files.isEmpty();
    }

    String text() {
        StringBuilder text = new StringBuilder();
        added.forEach(name -> text.append("  added ").append(name).append('\n'));
        changed.forEach(name -> text.append("  changed ").append(name).append('\n'));
        removed.forEach(name -> text.append("  removed ").append(name).append('\n'));
        return text.toString();
    }

    Map<String, Object> json() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("added", added);
        json.put("changed", changed);
        json.put("removed", removed);
        return json;
    }
}
