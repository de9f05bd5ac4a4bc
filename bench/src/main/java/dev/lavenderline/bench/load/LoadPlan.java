package dev.lavenderline.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Requests with their planned send times; the same parameters and seed give the same plan. Immutable.
 *
 * @param requests requests in order of their planned times
 */
public record LoadPlan(List<Request> requests) {
    private static final int PROMPT_WORDS = 40;

    public LoadPlan {
        requests = List.copyOf(requests);
    }

    /**
     * One request.
     *
     * @param at planned send time, relative to the start of the load
     * @param prompt random prompt, different for each request
     * @param maxTokens number of tokens to generate
     * @param isLong whether it is one of the long requests, which generate more tokens
     */
    public record Request(Duration at, String prompt, int maxTokens, boolean isLong) {}

    /**
     * Returns requests that arrive as a Poisson process.
     *
     * @param requestsPerSecond mean arrival rate
     * @param length duration of the plan
     * @param tokens tokens that a short request generates
     * @param longShare fraction of long requests, 0 to 1
     * @param longFactor tokens of a long request relative to a short one
     */
    public static LoadPlan poisson(
            long seed, double requestsPerSecond, Duration length, int tokens, double longShare, int longFactor) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        ZigguratSampler.Exponential gap = ZigguratSampler.Exponential.of(random, 1 / requestsPerSecond);
        List<Request> requests = new ArrayList<>();
        double at = gap.sample();
        while (at < length.toNanos() / 1e9) {
            boolean isLong = random.nextDouble() < longShare;
            requests.add(new Request(
                    Duration.ofNanos((long) (at * 1e9)),
                    prompt(random),
                    isLong ? tokens * longFactor : tokens,
                    isLong));
            at += gap.sample();
        }
        return new LoadPlan(requests);
    }

    /** Returns requests that all arrive at the same time. */
    public static LoadPlan burst(long seed, int count, int tokens) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Request> requests = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            requests.add(new Request(Duration.ZERO, prompt(random), tokens, false));
        }
        return new LoadPlan(requests);
    }

    private static String prompt(UniformRandomProvider random) {
        StringBuilder prompt = new StringBuilder("Diagnose gate");
        for (int i = 0; i < PROMPT_WORDS; i++) {
            prompt.append(' ').append(Integer.toString(random.nextInt(1 << 20), Character.MAX_RADIX));
        }
        return prompt.toString();
    }
}
