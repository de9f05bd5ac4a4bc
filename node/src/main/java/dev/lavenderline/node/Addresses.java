package dev.lavenderline.node;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/** Validates addresses in settings. Stateless. */
final class Addresses {
    private Addresses() {}

    /** Returns whether a text is an IP address with a port of at least {@code lowestPort}. */
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

    /** Returns whether a valid address has a wildcard IP, to which other processes cannot connect. */
    static boolean isWildcard(String text) {
        return InetAddresses.forString(HostAndPort.fromString(text).getHost()).isAnyLocalAddress();
    }
}
