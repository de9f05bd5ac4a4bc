package dev.lavenderline.ctl;

import com.google.common.collect.ImmutableMap;
import dev.lavenderline.core.config.ConfigDiff;
import dev.lavenderline.core.config.ConfigFault;
import dev.lavenderline.core.config.ConfigLedger;
import dev.lavenderline.core.config.ConfigParser;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.log.LogWriter;
import dev.lavenderline.proto.log.ConfigChange;
import dev.lavenderline.proto.log.Entry;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.UUID;
import java.util.stream.Collectors;

/** Configuration commands: check, diff and apply. */
final class ConfigCommands {
    private ConfigCommands() {}

    /** The files of a valid configuration folder and the configuration parsed from them. */
    private record ValidFolder(SortedMap<String, byte[]> files, FleetConfig config) {}

    static Result check(Invocation invocation) {
        return readFolder(invocation.operand()).fold(result -> result, folder -> {
            FleetConfig config = folder.config();
            Map<String, Object> json = new LinkedHashMap<>();
            json.put("faults", List.of());
            json.put("files", folder.files().size());
            json.put("models", config.models().size());
            json.put("deployments", config.deployments().size());
            json.put("upstreams", config.upstreams().size());
            json.put("workspaces", config.workspaces().size());
            json.put("routes", config.routes().size());
            String counts = json.entrySet().stream()
                    .skip(2)
                    .map(entry -> entry.getKey() + " " + entry.getValue())
                    .collect(Collectors.joining(", "));
            return Result.of(
                    ExitCode.SUCCESS, "no faults; files " + folder.files().size() + ", " + counts, json);
        });
    }

    static Result diff(Invocation invocation, Vertx vertx) {
        return readFolder(invocation.operand()).fold(result -> result, folder -> {
            ConfigHistory history = new ConfigHistory();
            try (LogSession session =
                    new LogSession(vertx, invocation.logUrl(), "config", history, invocation.timeout())) {
                Optional<Result> failure = session.catchUp();
                return failure.orElseGet(() -> describeDiff(history.ledger(), folder));
            }
        });
    }

    private static Result describeDiff(ConfigLedger current, ValidFolder folder) {
        FileChanges files = FileChanges.between(current.files(), folder.files());
        ConfigDiff diff = ConfigDiff.between(current.config(), folder.config());
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("revision", current.revision());
        json.put("files", files.json());
        json.put("changes", diff.changes().stream().map(DiffText::json).toList());
        String text = "current revision " + current.revision() + "\n"
                + (files.isEmpty() ? "no file differs" : "files:\n" + files.text())
                + (diff.isEmpty() ? "" : "entries:\n" + DiffText.render(diff));
        return Result.of(ExitCode.SUCCESS, text.stripTrailing(), json);
    }

    static Result apply(Invocation invocation, Vertx vertx) {
        return readFolder(invocation.operand()).fold(result -> result, folder -> {
            ConfigHistory history = new ConfigHistory();
            try (LogSession session =
                    new LogSession(vertx, invocation.logUrl(), "config", history, invocation.timeout())) {
                Optional<Result> failure = session.catchUp();
                return failure.orElseGet(() -> publish(invocation, folder, history, session));
            }
        });
    }

    private static Result publish(
            Invocation invocation, ValidFolder folder, ConfigHistory history, LogSession session) {
        long base = invocation.base().orElse(history.ledger().revision());
        if (base != history.ledger().revision()) {
            return conflict(base, history);
        }
        FileChanges files = FileChanges.between(history.ledger().files(), folder.files());
        if (files.isEmpty()) {
            return success("no change", base, base, files);
        }
        ConfigChange change = ConfigChange.newBuilder()
                .setId(UUID.randomUUID().toString())
                .setBase(base)
                .setAuthor(invocation.author())
                .addAllFiles(files.files())
                .build();
        Entry entry = Entry.newBuilder().setConfigChange(change).build();
        if (entry.getSerializedSize() > LogWriter.MAX_ENTRY_BYTES) {
            return Result.error(
                    ExitCode.FAILED,
                    "the change has " + entry.getSerializedSize() + " bytes, more than the log's limit of "
                            + LogWriter.MAX_ENTRY_BYTES + "; apply the files in several steps");
        }
        session.append(entry);
        Either<Result, ConfigLedger.Outcome> outcome = session.await(
                () -> Optional.of(history.ledger().outcome(change.getId()))
                        .filter(found -> found != ConfigLedger.Outcome.UNKNOWN),
                "waiting for the outcome of the change");
        if (outcome.isLeft()) {
            return outcome.getLeft().exitCode() == ExitCode.UNAVAILABLE
                    ? Result.error(
                            ExitCode.UNAVAILABLE,
                            outcome.getLeft().text() + "\nthe change may still take effect; see 'lavenderctl diff'")
                    : outcome.getLeft();
        }
        if (outcome.get() == ConfigLedger.Outcome.ACCEPTED) {
            long revision = history.successorOf(base).orElseThrow().revision();
            return success("applied", base, revision, files);
        }
        return conflict(base, history);
    }

    private static Result success(String summary, long base, long revision, FileChanges files) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("revision", revision);
        json.put("base", base);
        json.put("files", files.json());
        String text = summary + ": revision " + revision + "\n" + files.text();
        return Result.of(ExitCode.SUCCESS, text.stripTrailing(), json);
    }

    private static Result conflict(long base, ConfigHistory history) {
        Optional<ConfigHistory.Accepted> successor = history.successorOf(base);
        if (successor.isEmpty()) {
            return Result.error(
                    ExitCode.FAILED,
                    base > history.ledger().revision()
                            ? "revision " + base + " does not exist, the current one is "
                                    + history.ledger().revision()
                            : "the change based on revision " + base
                                    + " was rejected: the resulting configuration is invalid");
        }
        String message = "change lost: revision " + base + " was replaced by revision "
                + successor.get().revision() + " of " + successor.get().author()
                + "; review it with 'lavenderctl diff' and apply again";
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("error", message);
        json.put("status", ExitCode.FAILED);
        json.put("base", base);
        json.put(
                "winner",
                ImmutableMap.of(
                        "revision",
                        successor.get().revision(),
                        "author",
                        successor.get().author()));
        return new Result(ExitCode.FAILED, message, json, true);
    }

    private static Either<Result, ValidFolder> readFolder(String path) {
        return ConfigFolder.read(path)
                .flatMap(files -> ConfigParser.parse(files)
                        .map(config -> new ValidFolder(files, config))
                        .mapLeft(ConfigCommands::invalidFolder));
    }

    private static Result invalidFolder(List<ConfigFault> faults) {
        String text = faults.stream().map(ConfigFault::toString).collect(Collectors.joining("\n"));
        return Result.of(ExitCode.FAILED, text + "\nfaults: " + faults.size(), Map.of("faults", faults));
    }
}
