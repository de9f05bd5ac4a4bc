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

/** Parses command lines and reports all errors at once. Not thread-safe. */
final class InvocationParser {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

    private static final List<Flag> FLAGS = List.of(
            new Flag("output", "", "text or json; default: text"),
            new Flag("log-url", "LAVENDERLINE_LOG_URL", "the platform's log, http://HOST:PORT"),
            new Flag("nodes", "LAVENDERLINE_NODES", "operators' addresses of the nodes, IP:PORT, comma-separated"),
            new Flag("timeout", "", "limit of the whole command, 100ms to 1h; default: 30s"),
            new Flag("author", "", "who makes the change; default: the user of the process"),
            new Flag("base", "", "revision that must be the current one, as printed by diff; default: the current one"),
            new Flag("wait", "", "revision to wait for; exit code 1 if it is not in force in time"),
            new Flag("workspace", "", "workspace that owns the job; required"));

    private final List<String> errors = new ArrayList<>();
    private final Map<String, String> environment;

    private InvocationParser(Map<String, String> environment) {
        this.environment = environment;
    }

    /**
     * A flag with a value.
     *
     * @param variable environment variable that is used if the flag is missing; empty if there is none
     */
    private record Flag(String name, String variable, String help) {}

    /** Returns the invocation, or the result to print instead: help, version or errors. */
    static Either<Result, Invocation> parse(String[] args, Map<String, String> environment) {
        return new InvocationParser(environment).parse(args);
    }

    private Either<Result, Invocation> parse(String[] args) {
        CommandLine line = tokenize(args);
        if (line.hasOption("help")) {
            return Either.left(Result.plain(help()));
        }
        if (line.hasOption("version")) {
            return Either.left(Result.plain("lavenderctl " + version() + "\n"));
        }
        List<String> arguments = line.getArgList();
        Optional<Command> found = arguments.isEmpty() ? Optional.empty() : Command.named(arguments.get(0));
        if (found.isEmpty()) {
            errors.add(arguments.isEmpty() ? "a command is required" : "unknown command '" + arguments.get(0) + "'");
            return Either.left(usageError());
        }
        Command command = found.get();
        checkOperands(command, arguments);
        checkFlags(command, line);
        URI logUrl = command.accepts("log-url") ? logUrl(line) : null;
        List<String> nodes = command.accepts("nodes") ? nodes(line) : List.of();
        String operand = !command.operand().isEmpty() && arguments.size() > 1 ? arguments.get(1) : "";
        if (command.operand().equals("NODE") && !operand.isEmpty() && !SocketAddress.isValid(operand)) {
            errors.add("NODE '" + operand + "' is not an IP address and port");
        }
        String workspace = value(line, "workspace").orElse("");
        if (command.accepts("workspace") && workspace.isEmpty()) {
            errors.add("--workspace is required");
        }
        Invocation invocation = new Invocation(
                command,
                operand,
                json(line),
                logUrl,
                nodes,
                timeout(line),
                value(line, "author").orElse(System.getProperty("user.name", "unknown")),
                revision(line, "base"),
                revision(line, "wait"),
                workspace);
        return errors.isEmpty() ? Either.right(invocation) : Either.left(usageError());
    }

    private static CommandLine tokenize(String[] args) {
        Options options = new Options();
        // Values are optional for commons-cli, so that a missing one is reported together with other errors.
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
            throw new IllegalStateException("parsing failed although no option has a required value", e);
        }
    }

    private void checkOperands(Command command, List<String> arguments) {
        int expected = command.operand().isEmpty() ? 1 : 2;
        if (arguments.size() < expected) {
            errors.add(command.word() + " needs " + command.operand());
        }
        arguments.stream().skip(expected).forEach(argument -> errors.add("unknown argument '" + argument + "'"));
    }

    private void checkFlags(Command command, CommandLine line) {
        for (Flag flag : FLAGS) {
            long count = Arrays.stream(line.getOptions())
                    .filter(option -> flag.name().equals(option.getLongOpt()))
                    .count();
            if (count == 0) {
                continue;
            }
            if (!flag.name().equals("output") && !command.accepts(flag.name())) {
                errors.add("--" + flag.name() + " does not apply to " + command.word());
            } else if (count > 1) {
                errors.add("--" + flag.name() + " is given " + count + " times");
            } else if (value(line, flag.name()).isEmpty()) {
                errors.add("--" + flag.name() + " needs a value: " + flag.help());
            }
        }
    }

    private URI logUrl(CommandLine line) {
        Optional<String> text = valueOrVariable(line, "log-url", "LAVENDERLINE_LOG_URL");
        if (text.isEmpty()) {
            errors.add("--log-url (or LAVENDERLINE_LOG_URL) is required");
            return null;
        }
        try {
            URI url = new URI(text.get());
            if ("http".equals(url.getScheme()) && url.getHost() != null) {
                return url;
            }
        } catch (URISyntaxException e) {
            // Reported below, together with URLs of another scheme.
        }
        errors.add("--log-url '" + text.get() + "' is not of the form http://HOST:PORT");
        return null;
    }

    private List<String> nodes(CommandLine line) {
        Optional<String> text = valueOrVariable(line, "nodes", "LAVENDERLINE_NODES");
        if (text.isEmpty()) {
            errors.add("--nodes (or LAVENDERLINE_NODES) is required");
            return List.of();
        }
        List<String> nodes = Arrays.stream(text.get().split(",", -1))
                .map(String::strip)
                .distinct()
                .toList();
        nodes.stream()
                .filter(node -> !SocketAddress.isValid(node))
                .forEach(node -> errors.add("--nodes: '" + node + "' is not an IP address and port"));
        return nodes;
    }

    private boolean json(CommandLine line) {
        String text = value(line, "output").orElse("text");
        if (!text.equals("text") && !text.equals("json")) {
            errors.add("--output '" + text + "' is not text or json");
        }
        return text.equals("json");
    }

    private Duration timeout(CommandLine line) {
        Optional<String> text = value(line, "timeout");
        if (text.isEmpty()) {
            return DEFAULT_TIMEOUT;
        }
        Optional<Duration> value = Quantities.parseDuration(text.get())
                .filter(duration -> duration.toMillis() >= 100 && duration.compareTo(Duration.ofHours(1)) <= 0);
        if (value.isEmpty()) {
            errors.add("--timeout '" + text.get() + "' is not a duration from 100ms to 1h");
        }
        return value.orElse(DEFAULT_TIMEOUT);
    }

    private OptionalLong revision(CommandLine line, String flag) {
        Optional<String> text = value(line, flag);
        if (text.isEmpty()) {
            return OptionalLong.empty();
        }
        if (!text.get().matches("[0-9]{1,18}")) {
            errors.add("--" + flag + " '" + text.get() + "' is not a revision");
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(text.get()));
    }

    private Optional<String> valueOrVariable(CommandLine line, String flag, String variable) {
        return value(line, flag)
                .or(() -> Optional.ofNullable(environment.get(variable)).filter(text -> !text.isEmpty()));
    }

    private static Optional<String> value(CommandLine line, String flag) {
        return Optional.ofNullable(line.getOptionValue(flag)).filter(text -> !text.isEmpty());
    }

    private Result usageError() {
        return Result.error(
                ExitCode.USAGE, String.join("\n", errors) + "\nTry --help for a list of all commands and flags.");
    }

    private static String help() {
        StringBuilder help = new StringBuilder("Usage: lavenderctl COMMAND [FLAG VALUE]...\n\nCommands:\n");
        for (Command command : Command.values()) {
            String syntax = (command.word() + " " + command.operand()).strip();
            help.append("  ").append(syntax).append("\n      ").append(command.description());
            List<String> flags = FLAGS.stream()
                    .map(Flag::name)
                    .filter(command::accepts)
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
