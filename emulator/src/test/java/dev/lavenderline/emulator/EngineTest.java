package dev.lavenderline.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the times of the engine model against those computed by hand. */
class EngineTest {
    private static final LoadPattern.Engines CONFIG = new LoadPattern.Engines(1, 2, 1, 10, 2, 10, 1000, 0);

    private final VirtualTime time = new VirtualTime();
    private final Engine engine = new Engine(time, CONFIG, 1);
    private final List<String> log = new ArrayList<>();

    private Engine.Run run(String name, long prefix, int sharedTokens, int outputTokens) {
        return new Engine.Run(prefix, sharedTokens, 100, outputTokens, 2, new Engine.Listener() {
            @Override
            public void firstEvent() {
                log("first event");
            }

            @Override
            public void completed() {
                log("completed");
            }

            @Override
            public void rejected() {
                log("rejected");
            }

            @Override
            public void broken() {
                log("broken");
            }

            private void log(String event) {
                log.add(name + " " + event + " at " + Math.round(time.millis()));
            }
        });
    }

    @Test
    void singleRequestTakesPrefillAndSteps() {
        engine.submit(run("a", 0, 0, 10));
        time.runUntil(1000);
        assertEquals(List.of("a first event at 30", "a completed at 110"), log);
    }

    @Test
    void prefillStallsRunningRequestsAndCompanySlowsSteps() {
        engine.submit(run("a", 0, 0, 10));
        time.after(60, () -> engine.submit(run("b", 0, 0, 4)));
        time.runUntil(1000);
        // From 70 ms on, a needs 5 tokens and b 4 at 12 ms each; alone, the last one of a takes 10 ms.
        assertEquals(
                List.of("a first event at 30", "b first event at 94", "b completed at 118", "a completed at 128"), log);
    }

    @Test
    void cachedPrefixIsNotReadAgain() {
        engine.submit(run("a", 1, 200, 2));
        time.runUntil(500);
        engine.submit(run("b", 1, 200, 2));
        time.runUntil(1000);
        assertEquals(200, engine.prefilledSharedTokens());
    }

    @Test
    void requestsBeyondSlotsWaitAndThoseBeyondTheQueueAreRejected() {
        for (String name : List.of("a", "b", "c", "d")) {
            engine.submit(run(name, 0, 0, 1000));
        }
        assertEquals(List.of("d rejected at 0"), log);
        engine.lose();
        assertEquals(4, log.size());
    }
}
