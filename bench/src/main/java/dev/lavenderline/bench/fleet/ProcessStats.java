package dev.lavenderline.bench.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/** Reads the memory and CPU usage of other processes. Stateless. */
final class ProcessStats {
    private ProcessStats() {}

    /** Returns the resident memory in bytes from {@code /proc}, or 0 if the process has exited. */
    static long residentBytes(long pid) {
        Path status = Path.of("/proc", Long.toString(pid), "status");
        if (!Files.exists(status)) {
            return 0;
        }
        try {
            for (String line : Files.readAllLines(status)) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024;
                }
            }
            return 0;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read " + status, e);
        }
    }

    /** Returns the CPU time in user and kernel mode, or zero if the process has exited. */
    static Duration cpuTime(long pid) {
        return ProcessHandle.of(pid)
                .flatMap(handle -> handle.info().totalCpuDuration())
                .orElse(Duration.ZERO);
    }
}
