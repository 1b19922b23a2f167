package org.knapweedbank.jobs;

/**
 * Identity of a queue: the address to which callers send its requests.
 *
 * @param host host name of the requests
 * @param prefix path prefix of the requests
 */
public record QueueKey(String host, String prefix) {
    @Override
    public String toString() {
        return host + prefix;
    }
}
