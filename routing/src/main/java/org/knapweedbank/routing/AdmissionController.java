package org.knapweedbank.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Bounds the open requests of each service. Used from one thread. */
public final class AdmissionController {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Map<String, Integer> mOpen = new HashMap<>();

    /**
     * Decides about a request. A request is also refused when the expected delay of the best
     * upstream exceeds the time it has left: it would only take a slot from one that can be
     * answered in time.
     *
     * @param service the service
     * @param limit open requests allowed for the service
     * @param remaining time left for the answer
     * @param expected expected delay of the request, zero if not known
     * @return the decision
     */
    public Admission admit(String service, int limit, Duration remaining, Duration expected) {
        int open = mOpen.getOrDefault(service, 0);
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
        mOpen.put(service, open + 1);
        return new Admission.Admitted();
    }

    /**
     * Ends an admitted request.
     *
     * @param service the service
     */
    public void release(String service) {
        mOpen.computeIfPresent(service, (name, open) -> open > 1 ? open - 1 : null);
    }

    /**
     * Number of open requests.
     *
     * @param service the service
     * @return the count
     */
    public int open(String service) {
        return mOpen.getOrDefault(service, 0);
    }

    private static Duration retryAfter(Duration expected) {
        long seconds = expected.plusMillis(999).toSeconds();
        return Duration.ofSeconds(Math.max(1, seconds));
    }
}
