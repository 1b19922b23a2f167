package org.knapweedbank.tools;

/** Host and port of an operator listener. */
record ServerAddress(String host, int port) {
    /** Parses HOST:PORT, where an IPv6 address is enclosed in brackets. */
    static ServerAddress parse(String text) throws UsageException {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = colon < 1 ? "" : text.substring(0, colon);
            boolean bracketed = host.startsWith("[") && host.endsWith("]");
            host = bracketed ? host.substring(1, host.length() - 1) : host;
            if (!host.isEmpty() && port > 0 && port <= 65_535) {
                return new ServerAddress(host, port);
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new UsageException("server: found " + text + "; accepted: HOST:PORT");
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
