package org.knapweedbank.jobs;

/**
 * Identity of a queue: where callers reach it.
 *
 * @param host host name of its requests
 * @param prefix path prefix of its requests
 */
public record QueueKey(String host, String prefix) {
    @Override
    public String toString() {
        return host + prefix;
    }
}
