package org.knapweedbank.jobs;

/**
 * Which start orders of the owner the lists of a VM's runs account for. The run of an order that is
 * covered and in none of the lists is not on the VM and will not start there.
 */
public sealed interface OrderCoverage {
    /** All orders that the owner has sent to the VM. */
    record AllOrders() implements OrderCoverage {}

    /**
     * The orders that could no longer be carried out when the lists were requested.
     *
     * @param requestedAfterMillis time on the owner's monotonic clock in milliseconds; the lists
     *     were requested after it
     */
    record ListsRequestedAfter(long requestedAfterMillis) implements OrderCoverage {}

    /** No orders, as the age of the lists is not known. */
    record NoOrders() implements OrderCoverage {}
}
