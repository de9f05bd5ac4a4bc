package dev.lavenderline.node;

import dev.lavenderline.core.Ticker;
import io.vavr.control.Either;

/** Entry point of the binary {@code lavenderline}. */
public final class Main {
    private static final int EXIT_UNAVAILABLE = 69;

    private Main() {}

    public static void main(String[] args) {
        Either<SettingsParser.Exit, Settings> parsed = SettingsParser.parse(args, System.getenv());
        if (parsed.isLeft()) {
            SettingsParser.Exit exit = parsed.getLeft();
            (exit.status() == 0 ? System.out : System.err).print(exit.text());
            System.exit(exit.status());
        }
        run(parsed.get());
    }

    private static void run(Settings settings) {
        Logging.configure(settings.logging());
        Node node = Node.create(
                settings, Ticker.system(), code -> Runtime.getRuntime().halt(code));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndWait(node), "drain"));
        node.start()
                .onSuccess(ports -> System.out.println("ready callers=" + ports.callers() + " operators="
                        + ports.operators() + " peers=" + ports.peers()))
                .onFailure(cause -> {
                    NodeEvent.ROOT_FAILED.log(cause, EXIT_UNAVAILABLE);
                    Runtime.getRuntime().halt(EXIT_UNAVAILABLE);
                });
    }

    /** Keeps the process alive after SIGTERM until the node has drained and halts the process itself. */
    private static void drainAndWait(Node node) {
        node.drain("signal");
        try {
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
