package dev.lavenderline.core.routing;

import dev.lavenderline.core.config.FleetConfig;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;

/** A dispatcher in region north, failure domain n1, with a manual clock. */
final class DispatcherHarness {
    final ManualTicker ticker = new ManualTicker();
    final LoadAwareDispatcher dispatcher;
    private int submitted;

    DispatcherHarness(FleetConfig config) {
        this(config, DispatcherOptions.defaults(), Dispatchers.LATENCY_AWARE);
    }

    DispatcherHarness(FleetConfig config, DispatcherOptions options, String policy) {
        dispatcher = Dispatchers.create(
                policy, options, ticker, RandomSource.XO_SHI_RO_256_PP.create(1L), new Locality("north", "n1"));
        dispatcher.configure(config);
    }

    Call submit() {
        return submit(profile("w", 100, 50));
    }

    RequestProfile profile(String workspace, int promptTokens, int maxTokens) {
        return new RequestProfile(
                "r" + submitted++,
                workspace,
                Fleets.MODEL,
                0,
                promptTokens,
                maxTokens,
                ticker.nanos() + 60_000_000_000L,
                true);
    }

    Call submit(RequestProfile profile) {
        Call call = new Call();
        Either<Refusal, Dispatcher.Ticket> result = dispatcher.submit(profile, call.decisions::add);
        call.refusal = result.isLeft() ? result.getLeft() : null;
        call.ticket = result.getOrNull();
        return call;
    }

    /** Moves the clock in steps of 10 ms and ticks the dispatcher after each. */
    void run(long millis) {
        for (long passed = 0; passed < millis; passed += 10) {
            ticker.advanceMillis(10);
            dispatcher.tick();
        }
    }

    /** Sends a request, lets it answer with the given latencies and returns its upstream. */
    String serve(long firstTokenMillis, long intervalMillis, int tokens) {
        Dispatcher.Attempt attempt = submit().attempt();
        run(firstTokenMillis);
        attempt.firstToken();
        for (int i = 1; i < tokens; i++) {
            run(intervalMillis);
            attempt.tokens(1);
        }
        attempt.finished();
        return attempt.upstream();
    }

    /** One submitted request. */
    static final class Call {
        final List<Either<Refusal, Dispatcher.Attempt>> decisions = new ArrayList<>();
        Refusal refusal;
        Dispatcher.Ticket ticket;

        boolean sent() {
            return decisions.size() == 1 && decisions.get(0).isRight();
        }

        Dispatcher.Attempt attempt() {
            return decisions.get(decisions.size() - 1).get();
        }
    }
}
