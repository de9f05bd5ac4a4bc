package dev.lavenderline.serving.online;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against a stream that ends as complete because one faulty upstream answers its continuation with nothing. */
class ContinuationEndTest {
    private final ContinuationEnd end = new ContinuationEnd();

    @Test
    void twoUpstreamsCompleteAStream() {
        assertFalse(end.confirmed("a", OptionalLong.of(6)));
        assertTrue(end.confirmed("b", OptionalLong.of(6)));
    }

    @Test
    void soleUpstreamHasToRepeatIt() {
        for (int i = 1; i < ContinuationEnd.SOLE_UPSTREAM_RESPONSES; i++) {
            assertFalse(end.confirmed("a", OptionalLong.of(6)));
        }
        assertTrue(end.confirmed("a", OptionalLong.of(6)));
    }

    @Test
    void responsesBehindAnEarlierEventDoNotCount() {
        assertFalse(end.confirmed("a", OptionalLong.of(6)));
        assertFalse(end.confirmed("b", OptionalLong.of(7)));
    }
}
