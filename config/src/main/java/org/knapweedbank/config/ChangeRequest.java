package org.knapweedbank.config;

import java.util.OptionalLong;

/**
 * Describes a requested configuration change: who requests it and the generation it is based on.
 *
 * @param operator name of the operator
 * @param expectedGeneration generation that the operator based the change on, 0 if there was none;
 *     empty if the change applies to any generation
 * @param changeId identifier that the client gave to the change, by which a retry is recognized, or
 *     an empty string
 * @param allowNoDataCentre true if the operator confirmed that the change may leave no data centre
 *     in service
 * @param highestKnownGeneration highest generation known to the requesting entry; if the store
 *     holds a lower one, it has lost data, and a change made there would never be in force
 */
public record ChangeRequest(
        String operator,
        OptionalLong expectedGeneration,
        String changeId,
        boolean allowNoDataCentre,
        long highestKnownGeneration) {
    /**
     * Creates a request of a caller that does not know any generation.
     *
     * @param operator name of the operator
     * @param expectedGeneration generation that the operator based the change on, 0 if there was
     *     none, or empty
     * @param changeId identifier that the client gave to the change, or an empty string
     * @param allowNoDataCentre true if the change may leave no data centre in service
     */
    public ChangeRequest(
            String operator,
            OptionalLong expectedGeneration,
            String changeId,
            boolean allowNoDataCentre) {
        this(operator, expectedGeneration, changeId, allowNoDataCentre, 0);
    }
}
