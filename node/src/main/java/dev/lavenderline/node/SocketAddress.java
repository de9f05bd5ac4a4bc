package dev.lavenderline.node;

/**
 * An IP address and a port.
 *
 * @param host IP address
 * @param port port, 0 for any free port
 */
record SocketAddress(String host, int port) {
    /** Parses {@code 127.0.0.1:8080} or {@code [::1]:8080}; the text must have passed the settings parser. */
    static SocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, colon);
        if (host.startsWith("[")) {
            host = host.substring(1, host.length() - 1);
        }
        return new SocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
    }
}
