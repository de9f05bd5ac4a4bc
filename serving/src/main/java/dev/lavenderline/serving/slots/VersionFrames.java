package dev.lavenderline.serving.slots;

import dev.lavenderline.proto.slots.Hello;
import dev.lavenderline.proto.slots.RemovedVersion;
import dev.lavenderline.serving.upstreams.ServedVersions;
import dev.lavenderline.serving.upstreams.ServiceVersion;
import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;

/** The part of a hello that tells which software versions were in service. Stateless and thread-safe. */
final class VersionFrames {
    private VersionFrames() {}

    private static int millis(Duration duration) {
        return (int) Math.min(Integer.MAX_VALUE, duration.toMillis());
    }

    /** Adds what a node knows to its hello. */
    static Hello.Builder write(ServedVersions versions, Hello.Builder hello) {
        versions.ages()
                .forEach((version, age) -> hello.addRemovedVersions(RemovedVersion.newBuilder()
                        .setService(version.service())
                        .setVersion(version.version())
                        .setAgeMs(millis(age))));
        return hello.setObservedMs(millis(versions.complete()));
    }

    /** Adds what the sender of a hello knows to what this node knows. */
    static void read(Hello hello, ServedVersions versions) {
        Map<ServiceVersion, Duration> ages = hello.getRemovedVersionsList().stream()
                .collect(Collectors.toMap(
                        entry -> new ServiceVersion(entry.getService(), entry.getVersion()),
                        entry -> Duration.ofMillis(Integer.toUnsignedLong(entry.getAgeMs())),
                        (first, second) -> first.compareTo(second) < 0 ? first : second));
        versions.heard(ages, Duration.ofMillis(Integer.toUnsignedLong(hello.getObservedMs())));
    }
}
