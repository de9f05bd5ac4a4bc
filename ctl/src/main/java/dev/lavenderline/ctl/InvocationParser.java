package dev.lavenderline.ctl;

import dev.lavenderline.core.config.Quantities;
import dev.lavenderline.core.config.SocketAddress;
import io.vavr.control.Either;
import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Reads command lines; reports all faults at once. Not thread-safe. */
final class InvocationParser {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

    /** Flags with a value: name, variable (may be empty), text of help. */
    private static final List<Flag> FLAGS = List.of(
            new Flag("output", "", "text or json; default: text"),
            new Flag("log-url", "LAVENDERLINE_LOG_URL", "the platform's log, http://HOST:PORT"),
            new Flag("nodes", "LAVENDERLINE_NODES", "operators' addresses of the nodes, IP:PORT, comma-separated"),
            new Flag("timeout", "", "limit of the whole command, 100ms to 1h; default: 30s"),
            new Flag("author", "", "who makes the change; default: the user of the process"),
            new Flag("base", "", "revision that must be the current one, as printed by diff; default: the current one"),
            new Flag("wait", "", "revision to wait for; exit code 1 if it is not in force in time"),
            new Flag("workspace", "", "workspace that owns the job; required"));

    private final List<String> faults = new ArrayList<>();
    private final Map<String, String> environment;

    private InvocationParser(Map<String, String> environment) {
        this.environment = environment;
    }

    private record Flag(String name, String variable, String help) {}

    /** Returns the invocation, or the result to print instead: help, version or faults. */
    static Either<Result, Invocation> parse(String[] args, Map<String, String> environment) {
        return new InvocationParser(environment).parse(args);
    }

    private Either<Result, Invocation> parse(String[] args) {
        CommandLine line = commandLine(args);
        if (line.hasOption("help")) {
            return Either.left(Result.plain(help()));
        }
        if (line.hasOption("version")) {
            return Either.left(Result.plain("lavenderctl " + version() + "\n"));
        }
        List<String> words = line.getArgList();
        Optional<Command> found = words.isEmpty() ? Optional.empty() : Command.named(words.get(0));
        if (found.isEmpty()) {
            faults.add(words.isEmpty() ? "a command is required" : "unknown command '" + words.get(0) + "'");
            return Either.left(usage());
        }
        Command command = found.get();
        checkWords(command, words);
        checkFlags(command, line);
        URI logUrl = command.uses("log-url") ? logUrl(line) : null;
        List<String> nodes = command.uses("nodes") ? nodes(line) : List.of();
        String operand = !command.operand().isEmpty() && words.size() > 1 ? words.get(1) : "";
        if (command.operand().equals("NODE") && !operand.isEmpty() && !SocketAddress.isValid(operand)) {
            faults.add("NODE '" + operand + "' is not an IP address and port");
        }
        String workspace = text(line, "workspace").orElse("");
        if (command.uses("workspace") && workspace.isEmpty()) {
            faults.add("--workspace is required");
        }
        Invocation invocation = new Invocation(
                command,
                operand,
                json(line),
                logUrl,
                nodes,
                timeout(line),
                text(line, "author").orElse(System.getProperty("user.name", "unknown")),
                revision(line, "base"),
                revision(line, "wait"),
                workspace);
        return faults.isEmpty() ? Either.right(invocation) : Either.left(usage());
    }

    private static CommandLine commandLine(String[] args) {
        Options options = new Options();
        // The value is optional for the library, so that a missing one is reported together with other faults.
        FLAGS.forEach(flag -> options.addOption(Option.builder()
                .longOpt(flag.name())
                .numberOfArgs(1)
                .optionalArg(true)
                .get()));
        options.addOption(Option.builder().longOpt("help").get());
        options.addOption(Option.builder().longOpt("version").get());
        try {
            return DefaultParser.builder()
                    .setAllowPartialMatching(false)
                    .get()
                    .parse(options, null, DefaultParser.NonOptionAction.SKIP, args);
        } catch (ParseException e) {
            throw new IllegalStateException("no option has a required part, yet parsing failed", e);
        }
    }

    private void checkWords(Command command, List<String> words) {
        int expected = command.operand().isEmpty() ? 1 : 2;
        if (words.size() < expected) {
            faults.add(command.word() + " needs " + command.operand());
        }
        words.stream().skip(expected).forEach(word -> faults.add("unknown argument '" + word + "'"));
    }

    private void checkFlags(Command command, CommandLine line) {
        for (Flag flag : FLAGS) {
            long count = Arrays.stream(line.getOptions())
                    .filter(option -> flag.name().equals(option.getLongOpt()))
                    .count();
            if (count == 0) {
                continue;
            }
            if (!flag.name().equals("output") && !command.uses(flag.name())) {
                faults.add("--" + flag.name() + " does not apply to " + command.word());
            } else if (count > 1) {
                faults.add("--" + flag.name() + " is given " + count + " times");
            } else if (text(line, flag.name()).isEmpty()) {
                faults.add("--" + flag.name() + " needs a value: " + flag.help());
            }
        }
    }

    private URI logUrl(CommandLine line) {
        Optional<String> text = textOrVariable(line, "log-url", "LAVENDERLINE_LOG_URL");
        if (text.isEmpty()) {
            faults.add("--log-url (or LAVENDERLINE_LOG_URL) is required");
            return null;
        }
        try {
            URI url = new URI(text.get());
            if ("http".equals(url.getScheme()) && url.getHost() != null) {
                return url;
            }
        } catch (URISyntaxException e) {
            // Reported below, like a URL with another scheme.
        }
        faults.add("--log-url '" + text.get() + "' is not of the form http://HOST:PORT");
        return null;
    }

    private List<String> nodes(CommandLine line) {
        Optional<String> text = textOrVariable(line, "nodes", "LAVENDERLINE_NODES");
        if (text.isEmpty()) {
            faults.add("--nodes (or LAVENDERLINE_NODES) is required");
            return List.of();
        }
        List<String> nodes = Arrays.stream(text.get().split(",", -1))
                .map(String::strip)
                .distinct()
                .toList();
        nodes.stream()
                .filter(node -> !SocketAddress.isValid(node))
                .forEach(node -> faults.add("--nodes: '" + node + "' is not an IP address and port"));
        return nodes;
    }

    private boolean json(CommandLine line) {
        String text = text(line, "output").orElse("text");
        if (!text.equals("text") && !text.equals("json")) {
            faults.add("--output '" + text + "' is not text or json");
        }
        return text.equals("json");
    }

    private Duration timeout(CommandLine line) {
        Optional<String> text = text(line, "timeout");
        if (text.isEmpty()) {
            return DEFAULT_TIMEOUT;
        }
        Optional<Duration> value = Quantities.duration(text.get())
                .filter(duration -> duration.toMillis() >= 100 && duration.compareTo(Duration.ofHours(1)) <= 0);
        if (value.isEmpty()) {
            faults.add("--timeout '" + text.get() + "' is not a duration from 100ms to 1h");
        }
        return value.orElse(DEFAULT_TIMEOUT);
    }

    private OptionalLong revision(CommandLine line, String flag) {
        Optional<String> text = text(line, flag);
        if (text.isEmpty()) {
            return OptionalLong.empty();
        }
        if (!text.get().matches("[0-9]{1,18}")) {
            faults.add("--" + flag + " '" + text.get() + "' is not a revision");
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(text.get()));
    }

    private Optional<String> textOrVariable(CommandLine line, String flag, String variable) {
        return text(line, flag)
                .or(() -> Optional.ofNullable(environment.get(variable)).filter(text -> !text.isEmpty()));
    }

    private static Optional<String> text(CommandLine line, String flag) {
        return Optional.ofNullable(line.getOptionValue(flag)).filter(text -> !text.isEmpty());
    }

    private Result usage() {
        return Result.error(
                ExitCode.USAGE, String.join("\n", faults) + "\nTry --help for a list of all commands and flags.");
    }

    private static String help() {
        StringBuilder help = new StringBuilder("Usage: lavenderctl COMMAND [FLAG VALUE]...\n\nCommands:\n");
        for (Command command : Command.values()) {
            String words = (command.word() + " " + command.operand()).strip();
            help.append("  ").append(words).append("\n      ").append(command.description());
            List<String> flags = FLAGS.stream()
                    .map(Flag::name)
                    .filter(command::uses)
                    .map(flag -> "--" + flag)
                    .toList();
            help.append(flags.isEmpty() ? "\n" : "\n      Flags: " + String.join(", ", flags) + "\n");
        }
        help.append("\nFlags:\n");
        for (Flag flag : FLAGS) {
            help.append("  --").append(flag.name()).append("\n      ").append(flag.help());
            help.append(flag.variable().isEmpty() ? "\n" : " (variable: " + flag.variable() + ")\n");
        }
        help.append("  --help\n      prints this text\n  --version\n      prints the version\n");
        return help.append("\nExit codes: 0 success, 1 change lost or check failed, 2 usage, 69 service unavailable,"
                        + " 70 internal error.\n")
                .toString();
    }

    private static String version() {
        return Optional.ofNullable(InvocationParser.class.getPackage().getImplementationVersion())
                .orElse("development build");
    }
}
