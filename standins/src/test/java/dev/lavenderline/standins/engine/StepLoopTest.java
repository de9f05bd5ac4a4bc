package dev.lavenderline.standins.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Guards against a timing model whose speed depends on late timers, or that does not admit requests in order. */
class StepLoopTest {
    private static final long NANOS_PER_MS = 1_000_000;

    private final Map<String, List<Long>> tokenTimes = new HashMap<>();
    private final List<String> finished = new ArrayList<>();
    private final List<String> removed = new ArrayList<>();

    private StepLoop loop(String... options) {
        EngineOptions parsed = EngineOptions.parse(options);
        PrefixCache cache = new PrefixCache(parsed.prefixCacheTokens(), (kind, block) -> {});
        return new StepLoop(parsed, cache, new StepLoop.Listener() {
            @Override
            public void onToken(Sequence sequence, String text, long scheduledNanos) {
                tokenTimes.computeIfAbsent(sequence.id, id -> new ArrayList<>()).add(scheduledNanos);
            }

            @Override
            public void onFinished(Sequence sequence, long scheduledNanos) {
                finished.add(sequence.id);
            }

            @Override
            public void onRemoved(Sequence sequence, long scheduledNanos) {
                removed.add(sequence.id);
            }
        });
    }

    private static Sequence sequence(String id, int promptTokens, int tokensToGenerate) {
        String prompt = "p".repeat(promptTokens * TokenText.CHARS_PER_TOKEN);
        return new Sequence(
                id,
                TokenText.hash(id),
                promptTokens,
                PrefixCache.blockHashes("m", prompt),
                0,
                tokensToGenerate,
                "length");
    }

    @Test
    void lateTimersDoNotChangeSpeed() {
        List<Long> onTime = runWithTimer(1);
        List<Long> late = runWithTimer(37);

        assertEquals(onTime, late);
        // 1000 steps of 1 + 0.25 ms and one prefill of 10 tokens at 20,000 per second.
        assertEquals(1000 * 1.25 + 0.5, onTime.get(999) / (double) NANOS_PER_MS, 0.01);
    }

    private List<Long> runWithTimer(int timerMs) {
        tokenTimes.clear();
        StepLoop loop = loop("--step-base", "1");
        loop.submit(sequence("a", 10, 1000), 0);
        for (long now = 0; loop.stepInProgress(); now += timerMs * NANOS_PER_MS) {
            loop.advance(now);
        }
        return List.copyOf(tokenTimes.get("a"));
    }

    @Test
    void requestsAreAdmittedFirstComeFirstServed() {
        StepLoop loop = loop("--max-concurrent", "2", "--prefix-cache-tokens", "0");
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7L);
        List<String> order = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            order.add("s" + i);
            loop.submit(sequence("s" + i, 1 + random.nextInt(100), 1 + random.nextInt(5)), i);
        }
        // Only the first request had arrived when the step in progress began.
        assertEquals(1, loop.runningCount());
        assertEquals(19, loop.waitingCount());
        while (loop.stepInProgress()) {
            loop.advance(loop.stepEndNanos());
        }
        List<String> started = new ArrayList<>(order);
        started.sort((a, b) ->
                Long.compare(tokenTimes.get(a).get(0), tokenTimes.get(b).get(0)));
        assertEquals(order, started);
        assertEquals(20, finished.size());
    }

    @Test
    void prefillIsChunkedAndSkippedForCachedBlocks() {
        StepLoop loop = loop("--step-base", "1", "--step-per-sequence", "0");
        loop.submit(sequence("cold", 1024, 1), 0);
        loop.advance(10_000 * NANOS_PER_MS);
        loop.submit(sequence("warm", 1024, 1), 20_000 * NANOS_PER_MS);
        loop.advance(30_000 * NANOS_PER_MS);

        // Two steps of 1 ms plus 512 tokens at 0.05 ms each; then one step with a single token.
        assertEquals(2 + 1024 * 0.05, tokenTimes.get("cold").get(0) / (double) NANOS_PER_MS, 0.001);
        assertEquals(20_000 + 1.05, tokenTimes.get("warm").get(0) / (double) NANOS_PER_MS, 0.001);
    }

    @Test
    void cancelledSequenceIsRemovedAtNextStep() {
        StepLoop loop = loop("--max-concurrent", "1", "--step-base", "10");
        Sequence first = sequence("first", 1, 1000);
        loop.submit(first, 0);
        loop.submit(sequence("second", 1, 1), 1);
        loop.advance(50 * NANOS_PER_MS);
        loop.cancel(first);
        long end = loop.stepEndNanos();
        loop.advance(end);

        assertEquals(List.of("first"), removed);
        assertEquals(1, loop.runningCount());
        assertEquals(0, loop.waitingCount());
        loop.advance(end + 50 * NANOS_PER_MS);
        assertEquals(List.of("second"), finished);
    }

    @Test
    void slowdownAndPauseDelaySteps() {
        StepLoop loop = loop("--step-base", "10", "--step-per-sequence", "0");
        loop.slowDown(5, 100 * NANOS_PER_MS);
        loop.submit(sequence("a", 1, 4), 0);
        loop.advance(101 * NANOS_PER_MS);
        assertEquals(2, tokenTimes.get("a").size());
        loop.pause(102 * NANOS_PER_MS, 202 * NANOS_PER_MS);
        loop.advance(205 * NANOS_PER_MS);
        assertEquals(2, tokenTimes.get("a").size());
        loop.advance(300 * NANOS_PER_MS);
        assertEquals(4, tokenTimes.get("a").size());
        assertTrue(tokenTimes.get("a").get(2) >= 210 * NANOS_PER_MS);
    }

    @Test
    void leastRecentlyUsedBlocksAreEvictedFirst() {
        List<String> events = new ArrayList<>();
        PrefixCache cache = new PrefixCache(2 * PrefixCache.BLOCK_TOKENS, (kind, block) -> events.add(kind + block));
        cache.store(List.of(1L, 2L));
        assertEquals(1, cache.matchPrefix(List.of(1L)));
        cache.store(List.of(3L));

        assertEquals(List.of("stored1", "stored2", "stored3", "removed2"), events);
        assertEquals(0, cache.matchPrefix(List.of(2L, 1L)));
    }
}
