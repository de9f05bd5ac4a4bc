package dev.lavenderline.core.config;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/** Validation of socket addresses such as {@code 127.0.0.1:9001} or {@code [::1]:9001}. */
public final class SocketAddress {
    private SocketAddress() {}

    /** Returns whether a text is an IP address with a port from 1 to 65535. Host names are not accepted. */
    public static boolean isValid(String text) {
        try {
            HostAndPort address = HostAndPort.fromString(text);
            return address.hasPort() && address.getPort() > 0 && InetAddresses.isInetAddress(address.getHost());
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
