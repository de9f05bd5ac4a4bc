package dev.lavenderline.serving.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a process that logs an error of memory and goes on half alive. */
class FailureGuardTest {
    private final List<String> steps = new ArrayList<>();
    private final EventLog log = (event, fields) -> steps.add(event.code());

    @BeforeEach
    void setEnd() {
        FailureGuard.endOnMemoryError(() -> steps.add("end"));
    }

    @AfterEach
    void resetEnd() {
        FailureGuard.endOnMemoryError(() -> {});
    }

    private void fail(Error error) {
        assertFalse(FailureGuard.run(log, () -> {
            throw error;
        }));
    }

    @Test
    void memoryErrorIsLoggedAndEndsTheProcess() {
        fail(new OutOfMemoryError("direct buffers"));
        assertEquals(List.of("LL-1499", "end"), steps);
    }

    @Test
    void memoryErrorEndsTheProcessThoughTheLogFails() {
        FailureGuard.report(
                (event, fields) -> {
                    throw new OutOfMemoryError();
                },
                new OutOfMemoryError());
        assertEquals(List.of("end"), steps);
    }

    @Test
    void otherErrorsCostTheirTaskOnly() {
        fail(new StackOverflowError());
        fail(new AssertionError());
        assertEquals(List.of("LL-1499", "LL-1499"), steps);
    }
}
