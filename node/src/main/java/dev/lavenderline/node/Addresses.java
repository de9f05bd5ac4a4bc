package dev.lavenderline.node;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/** Checks of addresses in settings. */
final class Addresses {
    private Addresses() {}

    /** Returns whether a text is an IP address with a port that is at least the given one. */
    static boolean isValid(String text, int lowestPort) {
        try {
            HostAndPort address = HostAndPort.fromString(text);
            return address.hasPort()
                    && address.getPort() >= lowestPort
                    && InetAddresses.isInetAddress(address.getHost());
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Returns whether other processes can connect to a valid address as it is written. */
    static boolean isReachable(String text) {
        return !InetAddresses.forString(HostAndPort.fromString(text).getHost()).isAnyLocalAddress();
    }
}
