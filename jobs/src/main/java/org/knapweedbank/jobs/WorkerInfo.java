package org.knapweedbank.jobs;

import java.util.List;
import org.knapweedbank.model.Resources;

/**
 * What a worker says of itself.
 *
 * @param id the incarnation
 * @param service the pool that it belongs to
 * @param capacity what its tasks may reserve together
 * @param labels its labels
 * @param rack its rack, empty if unknown
 * @param draining true when it takes no new tasks
 */
public record WorkerInfo(
        WorkerId id,
        String service,
        Resources capacity,
        List<String> labels,
        String rack,
        boolean draining) {
    /** Copies the labels. */
    public WorkerInfo {
        labels = List.copyOf(labels);
    }
}
