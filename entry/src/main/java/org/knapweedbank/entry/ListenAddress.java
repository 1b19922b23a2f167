package org.knapweedbank.entry;

/**
 * Address of a listener.
 *
 * @param host address to bind
 * @param port port, or 0 for any free port
 */
public record ListenAddress(String host, int port) {
    /** Checks the port. */
    public ListenAddress {
        if (port < 0 || port > 65_535) {
            throw new IllegalArgumentException("port is not in 0 to 65535: " + port);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
