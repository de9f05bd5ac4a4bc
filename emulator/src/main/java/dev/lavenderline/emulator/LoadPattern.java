package dev.lavenderline.emulator;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * A fleet and its load, read from a YAML file. Immutable; checked when it is read.
 *
 * @param durationSeconds time in which callers send
 * @param drainSeconds further time for batch items
 * @param nodes number of nodes that callers connect to
 * @param failureDomains number of failure domains over which nodes and engines are spread
 * @param schedulerDelayMillis one-way latency between a node and the scheduler
 * @param engineDelayMillis one-way latency between a node and an engine
 * @param engines model engines
 * @param swing change of the online load over time
 * @param online kinds of online requests
 * @param batch batch jobs
 * @param faults faults, in any order
 * @param workspaces workspaces that the load is divided among; none if it has no workspaces
 */
record LoadPattern(
        double durationSeconds,
        double drainSeconds,
        int nodes,
        int failureDomains,
        double schedulerDelayMillis,
        double engineDelayMillis,
        Engines engines,
        Swing swing,
        List<Online> online,
        Batch batch,
        List<Fault> faults,
        List<Workspace> workspaces) {

    /**
     * Model engines.
     *
     * @param stepMillis time of a step, in which each running request generates one token
     * @param stepMillisPerRequest further time of a step for each running request beyond the first
     * @param memoryTokens tokens of prompts and outputs that an engine holds, cached prompt prefixes included
     * @param speedSpread largest deviation of an engine's speed from the mean, as a fraction
     */
    record Engines(
            int count,
            int slots,
            int queue,
            double stepMillis,
            double stepMillisPerRequest,
            double prefillTokensPerMilli,
            int memoryTokens,
            double speedSpread) {
        Engines {
            check(
                    count > 0 && slots > 0 && queue >= 0,
                    "engines: count and slots must be positive, queue not negative");
            check(stepMillis > 0 && stepMillisPerRequest >= 0, "engines: stepMillis must be positive");
            check(prefillTokensPerMilli > 0 && memoryTokens > 0, "engines: prefill rate and memory must be positive");
            check(speedSpread >= 0 && speedSpread < 1, "engines: speedSpread must be in [0, 1)");
        }
    }

    /** Online load as a multiple of its mean: a level between two bounds, kept for a time between two bounds. */
    record Swing(double low, double high, double minSeconds, double maxSeconds) {
        Swing {
            check(low >= 0 && high >= low, "swing: high must not be below low");
            check(minSeconds > 0 && maxSeconds >= minSeconds, "swing: maxSeconds must not be below minSeconds");
        }
    }

    /**
     * A kind of online request.
     *
     * @param sharedPrefixes number of different shared prompt prefixes
     * @param sizeSigma standard deviation of the logarithm of the output length; 0 for equal lengths
     * @param retries attempts after a rejection
     */
    record Online(
            String name,
            double perSecond,
            int sharedPrefixes,
            int sharedTokens,
            int ownTokens,
            int events,
            int tokensPerEvent,
            double sizeSigma,
            double targetMillis,
            double deadlineMillis,
            int retries) {
        Online {
            check(name != null && !name.isBlank(), "online: name is missing");
            check(perSecond > 0 && sharedPrefixes > 0, name + ": perSecond and sharedPrefixes must be positive");
            check(events > 0 && tokensPerEvent > 0, name + ": events and tokensPerEvent must be positive");
            check(sizeSigma >= 0 && retries >= 0, name + ": sizeSigma and retries must not be negative");
            check(targetMillis > 0 && deadlineMillis >= targetMillis, name + ": the deadline is before the target");
        }
    }

    /** Batch jobs, each of {@code itemsPerJob} items on the mean, which are due together. */
    record Batch(
            double jobsPerSecond,
            int itemsPerJob,
            int promptTokens,
            int events,
            int tokensPerEvent,
            double sizeSigma,
            double dueSeconds) {
        Batch {
            check(jobsPerSecond >= 0 && itemsPerJob > 0, "batch: itemsPerJob must be positive");
            check(events > 0 && tokensPerEvent > 0, "batch: events and tokensPerEvent must be positive");
            check(sizeSigma >= 0 && dueSeconds > 0, "batch: dueSeconds must be positive");
        }
    }

    /** What fails. */
    enum FaultKind {
        /** The scheduler's node is lost; the other nodes find another one after the given time. */
        SCHEDULER_LOST,
        /** Engines are lost with what they run; new ones replace them after the given time. */
        ENGINES_LOST,
        /** Engines name a limit in their responses for the given time. */
        ENGINES_LIMITED
    }

    /**
     * A fault.
     *
     * @param count number of engines
     * @param perSecond limit that each of these engines names, in requests a second
     */
    record Fault(FaultKind kind, double atSeconds, double forSeconds, int count, double perSecond) {
        Fault {
            check(kind != null, "faults: kind is missing");
            check(perSecond >= 0, "faults: perSecond must not be negative");
            check(atSeconds >= 0 && forSeconds > 0 && count >= 0, "faults: times must be positive");
        }
    }

    /**
     * Workspaces of equal load.
     *
     * @param name name, followed by a number if there are several
     * @param count number of workspaces
     * @param share load of each one, as a fraction of that of the pattern
     * @param priority priority of the requests and items, 0 is the highest
     * @param factor factor of the load of each one from {@code fromSeconds} for {@code forSeconds}
     */
    record Workspace(
            String name, int count, double share, int priority, double factor, double fromSeconds, double forSeconds) {
        Workspace {
            check(name != null && !name.isBlank(), "workspaces: name is missing");
            check(count > 0 && share > 0 && priority >= 0, name + ": count and share must be positive");
            check(factor > 0 && fromSeconds >= 0 && forSeconds >= 0, name + ": factor must be positive");
        }

        /** Returns the load of all of them at a time, as a fraction of that of the pattern. */
        double load(double atMillis) {
            boolean changed = atMillis >= 1000 * fromSeconds && atMillis < 1000 * (fromSeconds + forSeconds);
            return count * share * (changed ? factor : 1);
        }
    }

    LoadPattern {
        check(durationSeconds > 0 && drainSeconds >= 0, "durationSeconds must be positive");
        check(nodes > 0 && failureDomains > 0, "nodes and failureDomains must be positive");
        check(schedulerDelayMillis >= 0 && engineDelayMillis >= 0, "delays must not be negative");
        check(engines != null && swing != null && batch != null, "engines, swing and batch are required");
        online = online == null ? List.of() : List.copyOf(online);
        faults = faults == null ? List.of() : List.copyOf(faults);
        workspaces = workspaces == null ? List.of() : List.copyOf(workspaces);
    }

    private static void check(boolean condition, String problem) {
        if (!condition) {
            throw new IllegalArgumentException(problem);
        }
    }

    /**
     * Reads a pattern.
     *
     * @throws IOException if the file can't be read, has an unknown or missing field, or a value out of range
     */
    static LoadPattern read(Path file) throws IOException {
        return JsonMapper.builder(new YAMLFactory())
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                .build()
                .readValue(file.toFile(), LoadPattern.class);
    }

    int slots() {
        return engines.count() * engines.slots();
    }
}
