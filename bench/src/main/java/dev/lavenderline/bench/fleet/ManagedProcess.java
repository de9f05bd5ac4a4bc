package dev.lavenderline.bench.fleet;

import java.io.BufferedReader;
import java.io.File;
import java.io.FileWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A child process that prints a line beginning with {@code ready} when it can serve requests.
 *
 * <p>Thread-safe. {@link #close} kills the process; signals go only to this process.
 */
public final class ManagedProcess implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    private final String name;
    private final Process process;
    private final CompletableFuture<String> ready = new CompletableFuture<>();
    private final File log;

    private ManagedProcess(String name, Process process, File log) {
        this.name = name;
        this.process = process;
        this.log = log;
    }

    /**
     * Starts a main class of this process's class path without waiting until it is ready.
     *
     * @param log file that standard output and standard error are appended to
     */
    static ManagedProcess start(String name, List<String> jvmOptions, String mainClass, List<String> args, File log) {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
        command.addAll(args);
        try {
            Process process = new ProcessBuilder(command)
                    .redirectError(ProcessBuilder.Redirect.appendTo(log))
                    .start();
            ManagedProcess managed = new ManagedProcess(name, process, log);
            Thread reader = new Thread(managed::readOutput, name + "-output");
            reader.setDaemon(true);
            reader.start();
            return managed;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + name, e);
        }
    }

    /** Waits for the ready line and returns it without the word {@code ready}. */
    public String awaitReady() {
        try {
            return ready.get(START_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for " + name + " to become ready", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException(name + " did not become ready, see " + log, e);
        }
    }

    public String name() {
        return name;
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Kills the process (SIGKILL) and waits until it has exited. */
    public void kill() {
        process.destroyForcibly();
        awaitExit(Duration.ofSeconds(10));
    }

    /** Requests a graceful shutdown (SIGTERM) without waiting for it. */
    public void terminate() {
        process.destroy();
    }

    /** Suspends the process (SIGSTOP). */
    public void pause() {
        signal("STOP");
    }

    /** Resumes a suspended process (SIGCONT). */
    public void resume() {
        signal("CONT");
    }

    /** Waits until the process exits and returns its exit code. */
    public int awaitExit(Duration timeout) {
        try {
            if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(name + " did not exit within " + timeout);
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for " + name + " to exit", e);
        }
    }

    /** Returns the resident memory in bytes, or 0 if the process has exited. */
    public long residentBytes() {
        return ProcessStats.residentBytes(process.pid());
    }

    /** Returns the CPU time used so far. */
    public Duration cpuTime() {
        return ProcessStats.cpuTime(process.pid());
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            signal("CONT");
            kill();
        }
    }

    private void signal(String signal) {
        try {
            Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
            kill.waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot send SIG" + signal + " to " + name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readOutput() {
        try (BufferedReader lines =
                        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
                Writer copy = new FileWriter(log, StandardCharsets.UTF_8, true)) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.startsWith("ready ")) {
                    ready.complete(line.substring("ready ".length()));
                } else {
                    copy.write(line + "\n");
                    copy.flush();
                }
            }
            ready.completeExceptionally(new IllegalStateException(name + " exited before it was ready"));
        } catch (IOException e) {
            ready.completeExceptionally(e);
        }
    }
}
