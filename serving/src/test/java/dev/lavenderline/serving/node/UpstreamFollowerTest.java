package dev.lavenderline.serving.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.routes.FleetConfig;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.upstreams.Upstream;
import dev.lavenderline.serving.upstreams.UpstreamDirectory;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against missed changes of an upstream, since entries that repeat the previous content are not decoded. */
class UpstreamFollowerTest {
    private final UpstreamDirectory directory = new UpstreamDirectory(new ManualTime());
    private int decoded;
    private final UpstreamFollower follower = new UpstreamFollower(new StateRecordDecoder(), directory, EventLog.NONE);

    /** Decodes records that consist of a state and a counter of one digit. */
    private final class StateRecordDecoder implements ControlRecordDecoder {
        @Override
        public String configKey() {
            return "config";
        }

        @Override
        public Either<String, FleetConfig> config(byte[] value) {
            return Either.left("not used");
        }

        @Override
        public int contentLength(byte[] value) {
            return value.length - 1;
        }

        @Override
        public Either<String, Upstream> upstream(String id, byte[] value) {
            decoded++;
            String state = new String(value, 0, value.length - 1, StandardCharsets.UTF_8);
            return state.equals("broken")
                    ? Either.left("broken")
                    : Either.right(new Upstream(id, "s", "10.0.0.1", 80, "a", 2, state.equals("draining"), "v1"));
        }
    }

    private static KeyedRecord entry(String id, String text) {
        return new KeyedRecord(id, text.getBytes(StandardCharsets.UTF_8));
    }

    private boolean draining() {
        return directory.find("e").orElseThrow().draining();
    }

    @Test
    void decodesChangedEntriesOnly() {
        follower.record(entry("e", "ready1"));
        follower.record(entry("e", "ready2"));
        assertEquals(1, decoded);
        follower.record(entry("e", "draining3"));
        assertTrue(draining());
        follower.record(entry("e", "draining4"));
        follower.record(entry("e", "ready5"));
        assertFalse(draining());
        assertEquals(3, decoded);
    }

    @Test
    void decodesEntryAfterMalformedOne() {
        follower.record(entry("e", "ready1"));
        follower.record(entry("e", "broken2"));
        assertTrue(directory.find("e").isEmpty());
        follower.record(entry("e", "ready3"));
        assertFalse(draining());
    }

    @Test
    void restoresRemovedUpstreamFromSameEntry() {
        follower.record(entry("e", "ready1"));
        follower.record(entry("e", ""));
        assertTrue(directory.find("e").isEmpty());
        follower.record(entry("e", "ready2"));
        assertFalse(draining());
        follower.reset(List.of(entry("other", "ready1")));
        assertTrue(directory.find("e").isEmpty());
        follower.record(entry("e", "ready3"));
        assertFalse(draining());
    }
}
