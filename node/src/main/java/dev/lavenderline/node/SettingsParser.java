package dev.lavenderline.node;

import static java.util.stream.Collectors.counting;
import static java.util.stream.Collectors.groupingBy;
import static java.util.stream.Collectors.joining;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Reads the settings of a node from flags and environment variables. A flag takes precedence over its variable; an
 * empty variable counts as missing.
 *
 * <pre>{@code
 * Either<SettingsParser.Exit, Settings> parsed = SettingsParser.parse(args, System.getenv());
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class SettingsParser {
    /** Exit code for invalid settings. */
    public static final int EXIT_USAGE = 2;

    private static final String HELP = "help";
    private static final String VERSION = "version";

    private final Map<Setting<?>, Object> values = new HashMap<>();
    private final List<SettingError> errors = new ArrayList<>();

    private SettingsParser() {}

    /**
     * Exit status and output of a process that does not start.
     *
     * @param status exit code: 0 for {@code --help} and {@code --version}, 2 for invalid settings
     * @param text what to print: to standard output if the status is 0, else to standard error; ends with a line feed
     * @param errors all errors, in the order of the settings table; empty for status 0
     */
    public record Exit(int status, String text, List<SettingError> errors) {
        public Exit {
            errors = List.copyOf(errors);
        }
    }

    /**
     * One invalid or missing setting.
     *
     * @param flag flag with leading hyphens, as in the settings table, or the unknown argument as given
     * @param value offending value; empty if there is none
     * @param message what is wrong
     * @param bounds accepted values; empty if the flag is unknown
     */
    public record SettingError(String flag, String value, String message, String bounds) {
        @Override
        public String toString() {
            String text = flag + (value.isEmpty() ? "" : " '" + value + "'") + ": " + message;
            return bounds.isEmpty() ? text : text + "; accepted: " + bounds;
        }
    }

    /** Parses flags and environment variables. */
    public static Either<Exit, Settings> parse(String[] args, Map<String, String> environment) {
        return new SettingsParser().parseAll(args, environment);
    }

    private Either<Exit, Settings> parseAll(String[] args, Map<String, String> environment) {
        CommandLine line = commandLine(args);
        if (line.hasOption(HELP)) {
            return Either.left(new Exit(0, SettingsTable.help(), List.of()));
        }
        if (line.hasOption(VERSION)) {
            return Either.left(new Exit(0, "lavenderline " + version() + "\n", List.of()));
        }
        Map<String, Long> counts = Arrays.stream(line.getOptions()).collect(groupingBy(Option::getLongOpt, counting()));
        for (Setting<?> setting : SettingsTable.ALL) {
            if (counts.getOrDefault(setting.flag(), 0L) > 1) {
                addError(setting, "", "is given " + counts.get(setting.flag()) + " times");
                continue;
            }
            read(setting, line, environment);
        }
        line.getArgList().forEach(argument -> errors.add(new SettingError(argument, "", "unknown argument", "")));
        checkAdvertisedAddress();
        if (!errors.isEmpty()) {
            String text = errors.stream().map(SettingError::toString).collect(joining("\n"));
            return Either.left(new Exit(EXIT_USAGE, text + "\nTry --help for a list of all flags.\n", errors));
        }
        return Either.right(settings());
    }

    private static CommandLine commandLine(String[] args) {
        Options options = new Options();
        for (Setting<?> setting : SettingsTable.ALL) {
            // Optional for the library, so that a missing value is reported together with the other errors.
            options.addOption(Option.builder()
                    .longOpt(setting.flag())
                    .numberOfArgs(1)
                    .optionalArg(true)
                    .get());
        }
        options.addOption(Option.builder().longOpt(HELP).get());
        options.addOption(Option.builder().longOpt(VERSION).get());
        try {
            return DefaultParser.builder()
                    .setAllowPartialMatching(false)
                    .get()
                    .parse(options, null, DefaultParser.NonOptionAction.SKIP, args);
        } catch (ParseException e) {
            throw new IllegalStateException("command line parsing failed although no option or value is required", e);
        }
    }

    private <T> void read(Setting<T> setting, CommandLine line, Map<String, String> environment) {
        String text = line.getOptionValue(setting.flag());
        String variable = environment.getOrDefault(setting.variable(), "");
        if (line.hasOption(setting.flag())) {
            if (text == null || text.isEmpty()) {
                addError(setting, "", "needs a value");
                return;
            }
        } else if (!variable.isEmpty()) {
            text = variable;
        } else if (setting.required()) {
            addError(setting, "", "is required (or " + setting.variable() + ")");
            return;
        } else if (setting.defaultText().isEmpty()) {
            return;
        } else {
            text = setting.defaultText();
        }
        Optional<T> value = setting.parser().apply(text);
        if (value.isPresent()) {
            values.put(setting, value.get());
            return;
        }
        addError(
                setting,
                text,
                line.hasOption(setting.flag()) ? "not accepted" : "not accepted in " + setting.variable());
    }

    private void checkAdvertisedAddress() {
        String peers = (String) values.get(SettingsTable.PEERS_ADDRESS);
        if (peers == null || !Addresses.isWildcard(peers)) {
            return;
        }
        boolean alreadyReported =
                errors.stream().anyMatch(error -> error.flag().equals("--" + SettingsTable.ADVERTISE_PEERS.flag()));
        if (!alreadyReported && optional(SettingsTable.ADVERTISE_PEERS).isEmpty()) {
            addError(
                    SettingsTable.ADVERTISE_PEERS,
                    "",
                    "is required, because other nodes cannot connect to --peers-address " + peers);
        }
    }

    private void addError(Setting<?> setting, String value, String message) {
        errors.add(new SettingError("--" + setting.flag(), value, message, setting.bounds()));
    }

    private Settings settings() {
        String peers = get(SettingsTable.PEERS_ADDRESS);

        return new Settings(
                new Settings.Identity(
                        get(SettingsTable.NODE),
                        get(SettingsTable.CLUSTER),
                        get(SettingsTable.REGION),
                        get(SettingsTable.FAILURE_DOMAIN)),
                new Settings.Addresses(
                        get(SettingsTable.CALLERS_ADDRESS),
                        get(SettingsTable.OPERATORS_ADDRESS),
                        peers,
                        optional(SettingsTable.ADVERTISE_PEERS).orElse(peers)),
                new Settings.Platform(
                        get(SettingsTable.LOG_URL),
                        get(SettingsTable.HOSTS_URL),
                        optional(SettingsTable.WEIGHTS_URL),
                        get(SettingsTable.APPEND_RATE),
                        get(SettingsTable.WORK_LINGER),
                        get(SettingsTable.CALLS_LINGER),
                        get(SettingsTable.LOG_RETENTION),
                        get(SettingsTable.RESULTS_RETENTION),
                        get(SettingsTable.LOG_TIMEOUT)),
                new Settings.Traffic(
                        get(SettingsTable.POLICY),
                        get(SettingsTable.MAX_REQUEST_BYTES),
                        get(SettingsTable.MAX_FILE_BYTES),
                        get(SettingsTable.UPSTREAM_IDLE),
                        get(SettingsTable.FIRST_TOKEN_LIMIT),
                        get(SettingsTable.STALL_LIMIT),
                        get(SettingsTable.PRICE_THRESHOLD),
                        get(SettingsTable.RETRY_RATIO)),
                new Settings.Drain(get(SettingsTable.DRAIN_NOTICE), get(SettingsTable.DRAIN_TIMEOUT)),
                optional(SettingsTable.SEED).map(OptionalLong::of).orElse(OptionalLong.empty()),
                new Settings.Logging(get(SettingsTable.LOG_FORMAT), get(SettingsTable.LOG_LEVEL)));
    }

    private <T> T get(Setting<T> setting) {
        return optional(setting).orElseThrow();
    }

    // read() stores each value under the setting that parsed it.
    @SuppressWarnings("unchecked")
    private <T> Optional<T> optional(Setting<T> setting) {
        return Optional.ofNullable((T) values.get(setting));
    }

    static String version() {
        return Optional.ofNullable(SettingsParser.class.getPackage().getImplementationVersion())
                .orElse("development build");
    }
}
