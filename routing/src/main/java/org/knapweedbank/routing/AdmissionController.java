package org.knapweedbank.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Limits the number of open requests of each service. Not thread-safe. */
public final class AdmissionController {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Map<String, Integer> mOpenRequests = new HashMap<>();

    /**
     * Decides whether to admit a request. A request is also refused if the expected delay at the
     * best upstream exceeds its remaining time, because it would occupy a slot of the upstream
     * without being answered in time.
     *
     * @param service name of the service
     * @param limit maximum number of open requests of the service
     * @param remaining time until the deadline of the request
     * @param expected expected delay until the answer, or zero if unknown
     * @return the decision
     */
    public Admission admit(String service, int limit, Duration remaining, Duration expected) {
        int open = mOpenRequests.getOrDefault(service, 0);
        if (open >= limit) {
            return new Admission.Refused("too many open requests for the service", RETRY_AFTER);
        }
        if (remaining.isNegative() || remaining.isZero()) {
            return new Admission.Refused("the deadline has passed", RETRY_AFTER);
        }
        if (expected.compareTo(remaining) > 0) {
            return new Admission.Refused(
                    "the expected delay exceeds the deadline", retryAfter(expected));
        }
        mOpenRequests.put(service, open + 1);
        return new Admission.Admitted();
    }

    /**
     * Releases an admitted request that has ended.
     *
     * @param service name of the service
     */
    public void release(String service) {
        mOpenRequests.computeIfPresent(service, (name, open) -> open > 1 ? open - 1 : null);
    }

    /**
     * Returns the number of open requests of a service.
     *
     * @param service name of the service
     * @return the number
     */
    public int openRequests(String service) {
        return mOpenRequests.getOrDefault(service, 0);
    }

    private static Duration retryAfter(Duration expected) {
        long seconds = expected.plusMillis(999).toSeconds();
        return Duration.ofSeconds(Math.max(1, seconds));
    }
}
