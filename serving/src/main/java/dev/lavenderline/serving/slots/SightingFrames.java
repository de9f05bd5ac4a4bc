package dev.lavenderline.serving.slots;

import dev.lavenderline.proto.slots.SlotFrame;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;

/** Sightings of nodes as fields of the slot protocol. Stateless and thread-safe. */
final class SightingFrames {
    private SightingFrames() {}

    static Buffer frame(List<NodeSighting> sightings) {
        return SlotFrames.frame(SlotFrame.newBuilder()
                .setSightings(
                        dev.lavenderline.proto.slots.Sightings.newBuilder().addAllSightings(write(sightings))));
    }

    static List<dev.lavenderline.proto.slots.NodeSighting> write(List<NodeSighting> sightings) {
        return sightings.stream()
                .map(sighting -> dev.lavenderline.proto.slots.NodeSighting.newBuilder()
                        .setNode(sighting.node())
                        .setBeat(sighting.beat())
                        .setAgeMs(millis(sighting.age()))
                        .setStoreAgeMs(millis(sighting.stateAge()))
                        .build())
                .toList();
    }

    private static int millis(Duration duration) {
        return (int) Math.min(Integer.MAX_VALUE, duration.toMillis());
    }

    static List<NodeSighting> read(List<dev.lavenderline.proto.slots.NodeSighting> fields) {
        return fields.stream()
                .map(field -> new NodeSighting(
                        field.getNode(), field.getBeat(), duration(field.getAgeMs()), duration(field.getStoreAgeMs())))
                .toList();
    }

    private static Duration duration(int millis) {
        return Duration.ofMillis(Integer.toUnsignedLong(millis));
    }
}
