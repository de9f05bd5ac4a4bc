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

/** Guards against a service model whose speed depends on timers, or that favours some requests. */
class StepLoopTest {
    private static final long MS = 1_000_000;

    private final Map<String, List<Long>> tokenTimes = new HashMap<>();
    private final List<String> finished = new ArrayList<>();
    private final List<String> freed = new ArrayList<>();

    private StepLoop loop(String... options) {
        EngineOptions parsed = EngineOptions.parse(options);
        PrefixCache cache = new PrefixCache(parsed.prefixCacheTokens(), (kind, block) -> {});
        return new StepLoop(parsed, cache, new StepLoop.Output() {
            @Override
            public void token(Sequence sequence, String text, long atNanos) {
                tokenTimes.computeIfAbsent(sequence.id, id -> new ArrayList<>()).add(atNanos);
            }

            @Override
            public void finished(Sequence sequence, long atNanos) {
                finished.add(sequence.id);
            }

            @Override
            public void freed(Sequence sequence, long atNanos) {
                freed.add(sequence.id);
            }
        });
    }

    private static Sequence sequence(String id, int promptTokens, int length) {
        String prompt = "p".repeat(promptTokens * TokenText.CHARS_PER_TOKEN);
        return new Sequence(
                id, TokenText.hash(id), promptTokens, PrefixCache.blocksOf("m", prompt), 0, length, "length");
    }

    @Test
    void lateTimersDoNotChangeTheSpeed() {
        List<Long> onTime = run(1);
        List<Long> late = run(37);

        assertEquals(onTime, late);
        // 1000 steps of 1 + 0.25 ms and one prefill of 10 tokens at 20,000 a second.
        assertEquals(1000 * 1.25 + 0.5, onTime.get(999) / (double) MS, 0.01);
    }

    private List<Long> run(int timerMs) {
        tokenTimes.clear();
        StepLoop loop = loop("--step-base", "1");
        loop.submit(sequence("a", 10, 1000), 0);
        for (long now = 0; loop.stepping(); now += timerMs * MS) {
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
        assertEquals(1, loop.running());
        assertEquals(19, loop.waiting());
        while (loop.stepping()) {
            loop.advance(loop.nextEnd());
        }
        List<String> started = new ArrayList<>(order);
        started.sort((a, b) ->
                Long.compare(tokenTimes.get(a).get(0), tokenTimes.get(b).get(0)));
        assertEquals(order, started);
        assertEquals(20, finished.size());
    }

    @Test
    void prefillIsSplitIntoChunksAndSavedByTheCache() {
        StepLoop loop = loop("--step-base", "1", "--step-per-sequence", "0");
        loop.submit(sequence("cold", 1024, 1), 0);
        loop.advance(10_000 * MS);
        loop.submit(sequence("warm", 1024, 1), 20_000 * MS);
        loop.advance(30_000 * MS);

        // Two steps of 1 ms with 512 tokens of 0.05 ms each; then one step with a single token.
        assertEquals(2 + 1024 * 0.05, tokenTimes.get("cold").get(0) / (double) MS, 0.001);
        assertEquals(20_000 + 1.05, tokenTimes.get("warm").get(0) / (double) MS, 0.001);
    }

    @Test
    void cancelledSequenceIsFreedAtTheNextStep() {
        StepLoop loop = loop("--max-concurrent", "1", "--step-base", "10");
        Sequence first = sequence("first", 1, 1000);
        loop.submit(first, 0);
        loop.submit(sequence("second", 1, 1), 1);
        loop.advance(50 * MS);
        loop.cancel(first);
        long end = loop.nextEnd();
        loop.advance(end);

        assertEquals(List.of("first"), freed);
        assertEquals(1, loop.running());
        assertEquals(0, loop.waiting());
        loop.advance(end + 50 * MS);
        assertEquals(List.of("second"), finished);
    }

    @Test
    void slowdownAndPauseDelayTheSteps() {
        StepLoop loop = loop("--step-base", "10", "--step-per-sequence", "0");
        loop.slow(5, 100 * MS);
        loop.submit(sequence("a", 1, 4), 0);
        loop.advance(101 * MS);
        assertEquals(2, tokenTimes.get("a").size());
        loop.pause(102 * MS, 202 * MS);
        loop.advance(205 * MS);
        assertEquals(2, tokenTimes.get("a").size());
        loop.advance(300 * MS);
        assertEquals(4, tokenTimes.get("a").size());
        assertTrue(tokenTimes.get("a").get(2) >= 210 * MS);
    }

    @Test
    void leastRecentlyUsedBlocksLeaveTheCacheFirst() {
        List<String> events = new ArrayList<>();
        PrefixCache cache = new PrefixCache(2 * PrefixCache.BLOCK_TOKENS, (kind, block) -> events.add(kind + block));
        cache.store(List.of(1L, 2L));
        assertEquals(1, cache.match(List.of(1L)));
        cache.store(List.of(3L));

        assertEquals(List.of("stored1", "stored2", "stored3", "removed2"), events);
        assertEquals(0, cache.match(List.of(2L, 1L)));
    }
}
