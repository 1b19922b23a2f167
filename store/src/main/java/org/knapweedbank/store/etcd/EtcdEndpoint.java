package org.knapweedbank.store.etcd;

/** Address of a gateway. */
record EtcdEndpoint(String host, int port) {
    private static final int MAX_PORT = 65_535;

    static EtcdEndpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port <= MAX_PORT) {
                return new EtcdEndpoint(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // Reported below together with the other malformed addresses.
        }
        throw new IllegalArgumentException("endpoint is not HOST:PORT: " + text);
    }
}
