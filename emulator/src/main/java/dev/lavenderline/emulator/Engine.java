package dev.lavenderline.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * A model engine with continuous batching. Running requests generate one token in each step; the prefill of a prompt
 * stalls them. A bounded memory keeps the shared prompt prefixes that were used last.
 *
 * <p>Invariants: at most {@code slots} requests run; requests are admitted in order of arrival. Not thread-safe.
 */
final class Engine {
    private final VirtualTime time;
    private final LoadPattern.Engines config;
    private final double speed;
    private final Set<Run> running = new HashSet<>();
    private final Deque<Run> queue = new ArrayDeque<>();
    private final Deque<Run> prefills = new ArrayDeque<>();
    private final PriorityQueue<Milestone> milestones = new PriorityQueue<>();
    private final Map<Long, Integer> cachedPrefixes = new LinkedHashMap<>(16, 0.75f, true);
    private int cachedTokens;
    private long prefilledSharedTokens;

    /** Tokens that a request generates which has run since the start. */
    private double tokenClock;

    private double clockUpdatedMillis;
    private int decoding;
    private boolean prefilling;
    private boolean lost;
    private OptionalDouble limit = OptionalDouble.empty();
    private final List<Double> limitedArrivals = new ArrayList<>();
    private long timerNumber;

    /** Receives the progress of a run. */
    interface Listener {
        void firstEvent();

        void completed();

        /** The queue is full; the request does not run. */
        void rejected();

        /** The engine was lost. */
        void broken();
    }

    /** A request at an engine. */
    static final class Run {
        final long prefix;
        final int sharedTokens;
        final int ownTokens;
        final int outputTokens;
        final int tokensPerEvent;
        final Listener listener;
        private Runnable headListener = () -> {};
        private double startClock = Double.NaN;
        private boolean ended;

        Run(long prefix, int sharedTokens, int ownTokens, int outputTokens, int tokensPerEvent, Listener listener) {
            this.prefix = prefix;
            this.sharedTokens = sharedTokens;
            this.ownTokens = ownTokens;
            this.outputTokens = outputTokens;
            this.tokensPerEvent = tokensPerEvent;
            this.listener = listener;
        }

        /** Sets the action at the head of the response, before its first event. */
        void onHead(Runnable action) {
            headListener = action;
        }
    }

    private record Milestone(double clock, Run run, boolean last) implements Comparable<Milestone> {
        @Override
        public int compareTo(Milestone other) {
            return Double.compare(clock, other.clock);
        }
    }

    Engine(VirtualTime time, LoadPattern.Engines config, double speed) {
        this.time = time;
        this.config = config;
        this.speed = speed;
    }

    /** Returns the shared prompt tokens that were read so far. */
    long prefilledSharedTokens() {
        return prefilledSharedTokens;
    }

    /** Names a limit, in requests a second, for a time. */
    void limit(double perSecond, double millis) {
        limit = OptionalDouble.of(perSecond);
        limitedArrivals.clear();
        time.after(millis, () -> limit = OptionalDouble.empty());
    }

    /** Returns the limit that the engine names in its responses now, in requests a second. */
    OptionalDouble limit() {
        return limit;
    }

    /**
     * Returns the most requests that came in a window while the engine named its limit.
     *
     * @param settleMillis time from the first of them that does not count
     */
    int mostLimitedArrivals(double settleMillis, double windowMillis) {
        int most = 0;
        for (double start : limitedArrivals) {
            if (start - limitedArrivals.get(0) >= settleMillis) {
                long count = limitedArrivals.stream()
                        .filter(arrival -> arrival >= start && arrival < start + windowMillis)
                        .count();
                most = (int) Math.max(most, count);
            }
        }
        return most;
    }

    void submit(Run run) {
        if (limit.isPresent()) {
            limitedArrivals.add(time.nanos() / 1e6);
        }
        if (lost) {
            run.listener.broken();
        } else if (running.size() < config.slots()) {
            admit(run);
            scheduleMilestone();
        } else if (queue.size() < config.queue()) {
            queue.add(run);
        } else {
            run.listener.rejected();
        }
    }

    /** Returns the events that a run has generated so far. */
    int events(Run run) {
        updateClock();
        if (Double.isNaN(run.startClock)) {
            return 0;
        }
        double tokens = Math.min(run.outputTokens, tokenClock - run.startClock);
        return (int) (tokens / run.tokensPerEvent);
    }

    void cancel(Run run) {
        if (run.ended) {
            return;
        }
        updateClock();
        remove(run);
        admitWaiting();
        scheduleMilestone();
    }

    /** Ends the engine and breaks all its requests. */
    void lose() {
        lost = true;
        List<Run> broken = new ArrayList<>(running);
        broken.addAll(queue);
        broken.forEach(this::remove);
        broken.forEach(run -> run.listener.broken());
    }

    private void remove(Run run) {
        run.ended = true;
        queue.remove(run);
        prefills.remove(run);
        if (running.remove(run) && !Double.isNaN(run.startClock)) {
            decoding--;
        }
    }

    private void admit(Run run) {
        updateClock();
        running.add(run);
        prefills.add(run);
        startPrefill();
    }

    private void admitWaiting() {
        while (running.size() < config.slots() && !queue.isEmpty()) {
            admit(queue.poll());
        }
    }

    private void startPrefill() {
        if (prefilling || prefills.isEmpty() || lost) {
            return;
        }
        Run next = prefills.poll();
        prefilling = true;
        int tokens = next.ownTokens + (cached(next) ? 0 : next.sharedTokens);
        prefilledSharedTokens += tokens - next.ownTokens;
        time.after(tokens / config.prefillTokensPerMilli() / speed, () -> prefillDone(next));
    }

    private boolean cached(Run run) {
        return run.sharedTokens == 0 || cachedPrefixes.get(run.prefix) != null;
    }

    private void prefillDone(Run run) {
        updateClock();
        prefilling = false;
        if (!run.ended) {
            cache(run);
            run.startClock = tokenClock;
            decoding++;
            milestones.add(new Milestone(tokenClock + run.tokensPerEvent, run, false));
            milestones.add(new Milestone(tokenClock + run.outputTokens, run, true));
        }
        startPrefill();
        scheduleMilestone();
    }

    private void cache(Run run) {
        if (run.sharedTokens > 0 && cachedPrefixes.put(run.prefix, run.sharedTokens) == null) {
            cachedTokens += run.sharedTokens;
        }
        int used = running.stream()
                .mapToInt(other -> other.ownTokens + other.outputTokens)
                .sum();
        var eldest = cachedPrefixes.entrySet().iterator();
        while (cachedTokens + used > config.memoryTokens() && eldest.hasNext()) {
            cachedTokens -= eldest.next().getValue();
            eldest.remove();
        }
    }

    private double stepMillis() {
        return (config.stepMillis() + config.stepMillisPerRequest() * Math.max(0, decoding - 1)) / speed;
    }

    private void updateClock() {
        double now = time.millis();
        if (!prefilling && decoding > 0) {
            tokenClock += (now - clockUpdatedMillis) / stepMillis();
        }
        clockUpdatedMillis = now;
    }

    private void scheduleMilestone() {
        while (!milestones.isEmpty() && milestones.peek().run().ended) {
            milestones.poll();
        }
        long number = ++timerNumber;
        if (prefilling || milestones.isEmpty()) {
            return;
        }
        time.after((milestones.peek().clock() - tokenClock) * stepMillis(), () -> {
            if (number == timerNumber) {
                reachMilestone();
            }
        });
    }

    private void reachMilestone() {
        updateClock();
        Milestone reached = milestones.poll();
        tokenClock = Math.max(tokenClock, reached.clock());
        if (reached.last()) {
            remove(reached.run());
            admitWaiting();
            reached.run().listener.completed();
        } else {
            reached.run().headListener.run();
            reached.run().listener.firstEvent();
        }
        scheduleMilestone();
    }
}
