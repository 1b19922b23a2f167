package org.knapweedbank.config;

import java.util.OptionalLong;

/**
 * Who wants a change, and on which generation.
 *
 * @param operator name of the operator
 * @param expect generation that the operator saw, 0 for none; empty if the change does not depend
 *     on it
 * @param change identifier of the change given by the client, by which a repeat is recognized, or
 *     empty
 * @param allowNoDataCentre true if the operator confirmed that no data centre may be left in
 *     service
 * @param known highest generation known to the entry that asks; a store that holds a lower one has
 *     lost data, and a change made there would never be in force
 */
public record ChangeRequest(
        String operator,
        OptionalLong expect,
        String change,
        boolean allowNoDataCentre,
        long known) {
    /**
     * A request of a caller that knows no generation by itself.
     *
     * @param operator name of the operator
     * @param expect generation that the operator saw, 0 for none, or empty
     * @param change identifier of the change given by the client, or empty
     * @param allowNoDataCentre true if no data centre may be left in service
     */
    public ChangeRequest(
            String operator, OptionalLong expect, String change, boolean allowNoDataCentre) {
        this(operator, expect, change, allowNoDataCentre, 0);
    }
}
