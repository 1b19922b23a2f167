package org.knapweedbank.store.etcd;

/** Address of a gateway of the key-value service. */
record EtcdEndpoint(String host, int port) {
    private static final int MAX_PORT = 65_535;

    static EtcdEndpoint parse(String text) {
        int separator = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(separator + 1));
            if (separator > 0 && port > 0 && port <= MAX_PORT) {
                return new EtcdEndpoint(text.substring(0, separator), port);
            }
        } catch (NumberFormatException e) {
            // Reported below, like other malformed addresses.
        }
        throw new IllegalArgumentException("endpoint is not of the form HOST:PORT: " + text);
    }
}
