package org.knapweedbank.tools;

/** Sends requests to the operator listeners of the entries. */
interface OperatorServer extends AutoCloseable {
    /** Sends a request to the first server that can be reached. */
    ServerAnswer call(String method, String path, byte[] body);

    @Override
    void close();
}
