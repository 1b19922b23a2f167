package org.knapweedbank.routing;

import java.time.Duration;

/** Result of the admission check of a request. */
public sealed interface Admission {
    /**
     * The request is admitted. It must be released with {@link AdmissionController#release} when it
     * has ended.
     */
    record Admitted() implements Admission {}

    /**
     * The request is refused; nothing has been done for it.
     *
     * @param reason short explanation for the caller
     * @param retryAfter time after which the caller may retry, at least 1 s
     */
    record Refused(String reason, Duration retryAfter) implements Admission {}
}
