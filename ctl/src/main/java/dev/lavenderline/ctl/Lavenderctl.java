package dev.lavenderline.ctl;

import io.vavr.control.Either;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * The command line tool for operators.
 *
 * <pre>{@code
 * int exitCode = new Lavenderctl(System.getenv(), System.out, System.err).run("check", "examples/quickstart");
 * }</pre>
 *
 * <p>Not thread-safe; each run creates and closes its own connections.
 */
public final class Lavenderctl {
    private final Map<String, String> environment;
    private final PrintStream out;
    private final PrintStream err;

    /**
     * Creates the tool.
     *
     * @param environment variables {@code LAVENDERLINE_NODES} and {@code LAVENDERLINE_LOG_URL} are used
     * @param out receives results
     * @param err receives errors
     */
    public Lavenderctl(Map<String, String> environment, PrintStream out, PrintStream err) {
        this.environment = Map.copyOf(environment);
        this.out = out;
        this.err = err;
    }

    /** Runs one command and returns the exit code; never throws. */
    public int run(String... args) {
        Either<Result, Invocation> invocation = InvocationParser.parse(args, environment);
        boolean json = invocation.isRight() ? invocation.get().json() : asksForJson(args);
        Result result = invocation.fold(parseResult -> parseResult, this::execute);
        result.print(json, out, err);
        return result.exitCode();
    }

    private Result execute(Invocation invocation) {
        Vertx vertx = Vertx.vertx();
        try {
            return switch (invocation.command()) {
                case CHECK -> ConfigCommands.check(invocation);
                case DIFF -> ConfigCommands.diff(invocation, vertx);
                case APPLY -> ConfigCommands.apply(invocation, vertx);
                case STATUS -> NodeCommands.status(invocation, vertx);
                case DUMP -> NodeCommands.dump(invocation, vertx);
                case DRAIN -> NodeCommands.drain(invocation, vertx);
                case CANCEL -> JobCommands.cancel(invocation, vertx);
            };
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Result.error(ExitCode.INTERNAL, "interrupted");
        } catch (RuntimeException e) {
            return Result.error(ExitCode.INTERNAL, "internal error: " + e);
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }

    /** Returns whether an invalid command line asks for JSON, so that its errors are printed as JSON. */
    private static boolean asksForJson(String[] args) {
        List<String> arguments = Arrays.asList(args);
        int flag = arguments.indexOf("--output");
        return arguments.contains("--output=json")
                || (flag >= 0
                        && flag + 1 < arguments.size()
                        && arguments.get(flag + 1).equals("json"));
    }
}
