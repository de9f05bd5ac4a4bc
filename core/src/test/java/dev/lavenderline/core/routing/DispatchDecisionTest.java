package dev.lavenderline.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against requests that get no decision or two, and against counts that differ from the attempts in flight. */
class DispatchDecisionTest {
    private static final List<String> POLICIES =
            List.of(Dispatchers.LATENCY_AWARE, Dispatchers.ROUND_ROBIN, Dispatchers.LEAST_IN_FLIGHT);

    @Property(tries = 300)
    void oneDecisionForEachSubmissionAndRetry(@ForAll long seed) {
        Random random = new Random(seed);
        DispatcherHarness harness = new DispatcherHarness(
                Fleets.engines(3, 2),
                DispatcherOptions.defaults().withQueueBound(5),
                POLICIES.get(random.nextInt(POLICIES.size())));
        List<DispatcherHarness.Call> calls = new ArrayList<>();
        List<Integer> expected = new ArrayList<>();
        for (int step = 0; step < 150; step++) {
            harness.run(10 * random.nextInt(3));
            if (random.nextInt(3) == 0) {
                DispatcherHarness.Call call = harness.submit();
                calls.add(call);
                expected.add(call.refusal == null ? 1 : 0);
            } else if (!calls.isEmpty()) {
                int index = random.nextInt(calls.size());
                expected.set(index, expected.get(index) + act(calls.get(index), expected.get(index), random));
            }
            if (random.nextInt(50) == 0) {
                harness.dispatcher.setLeavingAddresses(random.nextBoolean() ? Set.of("127.0.0.1:9001") : Set.of());
            }
        }
        harness.dispatcher.setLeavingAddresses(Set.of());
        finishAll(calls);
        for (int i = 0; i < calls.size(); i++) {
            int decisions = calls.get(i).decisions.size();
            int closedEarly = expected.get(i) < 0 ? 1 : 0;
            assertTrue(closedEarly == 1 || decisions == expected.get(i), "decisions: " + decisions);
        }
        harness.dispatcher.views().forEach(view -> {
            assertEquals(0, view.onlineInFlight(), view.toString());
            assertEquals(0, view.longInFlight(), view.toString());
            assertEquals(0, view.outstandingTokens(), view.toString());
        });
    }

    /** Finishes attempts until no further queued request is sent. */
    private static void finishAll(List<DispatcherHarness.Call> calls) {
        for (int before = -1, after = 0; before != after; ) {
            before = after;
            for (DispatcherHarness.Call call : calls) {
                call.decisions.forEach(decision -> decision.peek(Dispatcher.Attempt::finished));
            }
            after = calls.stream().mapToInt(call -> call.decisions.size()).sum();
        }
    }

    /** Returns the number of further decisions to expect; a large negative number if the request was closed early. */
    private static int act(DispatcherHarness.Call call, int expected, Random random) {
        if (call.ticket == null) {
            return 0;
        }
        if (call.decisions.isEmpty()) {
            if (random.nextInt(4) > 0) {
                return 0;
            }
            call.ticket.close();
            return -1000;
        }
        switch (random.nextInt(6)) {
            case 0 -> call.decisions.forEach(decision -> decision.peek(Dispatcher.Attempt::firstToken));
            case 1 -> call.decisions.forEach(decision -> decision.peek(attempt -> attempt.tokens(3)));
            case 2 -> call.decisions.forEach(decision -> decision.peek(Dispatcher.Attempt::finished));
            case 3 -> call.ticket.hedge().ifPresent(Dispatcher.Attempt::cancelled);
            case 4 -> {
                boolean open = call.decisions.get(call.decisions.size() - 1).isRight();
                call.decisions.forEach(decision -> decision.peek(a -> a.failed(Dispatcher.Failure.BROKEN)));
                return open && call.ticket.retry(Set.of()).isEmpty() ? 1 : 0;
            }
            default -> {
                call.ticket.close();
                return call.decisions.size() < expected ? -1000 : 0;
            }
        }
        return 0;
    }
}
