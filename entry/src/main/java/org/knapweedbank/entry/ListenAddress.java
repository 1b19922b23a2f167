package org.knapweedbank.entry;

/**
 * Address that a listener binds to.
 *
 * @param host host name or IP address to bind
 * @param port port number, or 0 for any free port
 */
public record ListenAddress(String host, int port) {
    /**
     * Creates an address.
     *
     * @throws IllegalArgumentException if the port is out of range
     */
    public ListenAddress {
        if (port < 0 || port > 65_535) {
            throw new IllegalArgumentException("port must be from 0 to 65535: " + port);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
