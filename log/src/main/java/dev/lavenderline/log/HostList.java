package dev.lavenderline.log;

import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import java.util.List;

/** The platform's lagging list of hosts. Failures are values. */
public interface HostList {
    /** Reads the whole list. */
    Uni<Either<PlatformError, List<HostEntry>>> hosts();

    /**
     * One host.
     *
     * @param address IP address and port as configured
     * @param state whether the host is about to leave
     */
    record HostEntry(String address, HostState state) {}

    /** State of a host. */
    enum HostState {
        LIVE,
        LEAVING
    }
}
