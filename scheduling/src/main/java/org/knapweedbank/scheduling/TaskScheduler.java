package org.knapweedbank.scheduling;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;

/**
 * Capacity ledger and pending queues of one partition. Pure: it does no I/O, takes time from the
 * clock passed in, and is used by one thread.
 */
public interface TaskScheduler {
    /**
     * Adds a VM or changes its description; running tasks keep their resources.
     *
     * @param vm the VM
     */
    void putVm(VmDescription vm);

    /**
     * Removes a VM; its tasks stay in the ledger until {@link #release}.
     *
     * @param vm the VM
     */
    void removeVm(VmId vm);

    /**
     * Allows or forbids new placements on a VM, for example while its session is not confirmed.
     *
     * @param vm the VM
     * @param schedulable true if tasks may be placed there
     */
    void setSchedulable(VmId vm, boolean schedulable);

    /**
     * Sets the data centres that take no new tasks.
     *
     * @param removed the data centres
     */
    void setRemovedDataCentres(Set<DataCentreId> removed);

    /**
     * Sets the quotas.
     *
     * @param quotas quota by team, for this partition
     */
    void setQuotas(Map<String, TeamQuota> quotas);

    /**
     * Adds a task to the pending queue of its team.
     *
     * @param task the task
     */
    void enqueue(PendingTask task);

    /**
     * Removes a task from the pending queue; no effect if it is not there.
     *
     * @param task the task
     */
    void dequeue(TaskId task);

    /**
     * Enters a task in the ledger that already runs, after recovery.
     *
     * @param task the task
     * @param vm VM that holds it
     */
    void adopt(PendingTask task, VmId vm);

    /**
     * Enters a task in the ledger that already runs with reserved resources that differ from the
     * declared ones.
     *
     * @param task the task
     * @param vm VM that holds it
     * @param reserved resources that the agent has reserved for it
     */
    void adopt(PendingTask task, VmId vm, Resources reserved);

    /**
     * Tells whether all VMs of the partition have had time to register. While false, no task is
     * reported as never fitting, because a VM that has not registered yet may hold it. True at
     * first.
     *
     * @param complete false after a change of owner until the sessions are known
     */
    void setFleetComplete(boolean complete);

    /**
     * Frees the resources of a task in the ledger; no effect if it is not there.
     *
     * @param task the task
     */
    void release(TaskId task);

    /**
     * Decides about pending tasks. A placed task leaves its queue and is entered in the ledger
     * before the decision is returned; a preempted task stays in the ledger until {@link #release}.
     *
     * @param limit number of decisions after which no further task is considered; the victims of
     *     one urgent task are always returned together
     * @return the decisions in order
     */
    List<SchedulingDecision> schedule(int limit);

    /**
     * Records that a task ended well on a VM.
     *
     * @param task the task
     * @param vm the VM
     */
    void recordSuccess(TaskId task, VmId vm);

    /**
     * Records that an attempt failed on a VM; evidence for quarantine.
     *
     * @param task the task
     * @param vm the VM
     */
    void recordFailure(TaskId task, VmId vm);

    /**
     * Records a usage sample.
     *
     * @param sample the sample
     */
    void recordUsage(UsageObservation sample);

    /**
     * Decides about interference on the VMs that have new samples.
     *
     * @return actions on batch tasks
     */
    List<InterferenceAction> controlInterference();

    /**
     * What has been learned about task classes, for the snapshot of the partition.
     *
     * @return the learned state
     */
    LearnedState learnedState();

    /**
     * Takes over what an earlier owner of the partition has learned.
     *
     * @param state the learned state
     */
    void restoreLearnedState(LearnedState state);

    /**
     * Explains why a job waits.
     *
     * @param job the job
     * @return a sentence on which an operator can act
     */
    String explain(JobId job);
}
