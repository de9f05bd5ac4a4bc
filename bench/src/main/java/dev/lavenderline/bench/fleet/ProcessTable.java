package dev.lavenderline.bench.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/** Reads figures of a process from the kernel ({@code /proc}). Stateless. */
final class ProcessTable {
    private ProcessTable() {}

    /** Returns the resident memory in bytes, 0 if the process is gone. */
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

    /** Returns the processor time in user and kernel mode. */
    static Duration cpuTime(long pid) {
        return ProcessHandle.of(pid)
                .flatMap(handle -> handle.info().totalCpuDuration())
                .orElse(Duration.ZERO);
    }
}
