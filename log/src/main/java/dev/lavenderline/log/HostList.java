package dev.lavenderline.log;

import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import java.util.List;

/** The platform's list of hosts, which is eventually consistent. Failures are returned as values, not thrown. */
public interface HostList {
    /** Fetches the whole list. */
    Uni<Either<PlatformError, List<HostEntry>>> hosts();

    /**
     * One host.
     *
     * @param address IP address and port as configured
     * @param state whether the host is about to be removed
     */
    record HostEntry(String address, HostState state) {}

    /** State of a host. */
    enum HostState {
        LIVE,
        LEAVING
    }
}
