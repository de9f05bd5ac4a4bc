package dev.lavenderline.serving;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs code on the stack that the deploy file gives to the threads of the program. Stateless and thread-safe. */
public final class DeployedStack {
    private static final Path DEPLOY_FILE = Path.of("..", "deploy", "system.toml");
    private static final Pattern STACK_KILOBYTES = Pattern.compile("-Xss(\\d+)k");

    private DeployedStack() {}

    /** Runs a task and fails as it does. */
    public static void run(Runnable task) throws IOException, InterruptedException, ExecutionException {
        Matcher stack = STACK_KILOBYTES.matcher(Files.readString(DEPLOY_FILE));
        if (!stack.find()) {
            throw new IllegalStateException(DEPLOY_FILE + " sets no size of the stack");
        }
        FutureTask<Void> run = new FutureTask<>(task, null);
        new Thread(null, run, "deployed stack", Long.parseLong(stack.group(1)) * 1024).start();
        run.get();
    }
}
