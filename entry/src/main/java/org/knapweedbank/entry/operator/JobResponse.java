package org.knapweedbank.entry.operator;

/** Result of handling a job request at this entry. */
sealed interface JobResponse {
    /**
     * This entry has handled the request.
     *
     * @param response response to the operator
     */
    record Completed(OperatorResponse response) implements JobResponse {}

    /**
     * Another entry owns the partition of the job.
     *
     * @param partition number of the partition
     * @param ownerId identifier of the owner, or empty if the partition has no known owner
     */
    record OwnedByPeer(int partition, String ownerId) implements JobResponse {}
}
