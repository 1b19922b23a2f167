package org.knapweedbank.tools;

/** Sends requests to the operator listeners of the entries. */
interface OperatorServer extends AutoCloseable {
    /** Sends a request to the first reachable server and waits for the response. */
    ServerResponse call(String method, String path, byte[] body);

    @Override
    void close();
}
