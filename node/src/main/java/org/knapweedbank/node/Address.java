package org.knapweedbank.node;

import java.util.Optional;

/**
 * Network address of a process.
 *
 * @param host IP address of the host
 * @param port TCP port
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if the host is empty or the port is out of range
     */
    public Address {
        if (host.isEmpty() || port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("address is not HOST:PORT: " + host + ":" + port);
        }
    }

    /**
     * Parses an address.
     *
     * @param text the address as HOST:PORT
     * @return the address, empty if the text is malformed or the port is out of range
     */
    public static Optional<Address> parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return Optional.of(
                    new Address(
                            text.substring(0, Math.max(0, colon)),
                            Integer.parseInt(text.substring(colon + 1))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
