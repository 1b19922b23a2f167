package org.knapweedbank.routing;

import java.time.Duration;

/** Decision about the admission of a request. */
public sealed interface Admission {
    /** The request may run; it has to be released when it has ended. */
    record Admitted() implements Admission {}

    /**
     * The request is refused before anything was done for it.
     *
     * @param reason short reason for the caller
     * @param retryAfter time after which a repeat is reasonable, at least 1 s
     */
    record Refused(String reason, Duration retryAfter) implements Admission {}
}
