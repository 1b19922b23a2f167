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
 * Schedules the tasks of one partition. Implementations keep the pending queues and the capacity
 * ledger, perform no I/O, read the time only from the given clock and are not thread-safe.
 */
public interface TaskScheduler {
    /**
     * Adds a VM or updates its description. Running tasks keep their resources.
     *
     * @param vm description of the VM
     */
    void putVm(VmDescription vm);

    /**
     * Removes a VM. Its tasks stay in the ledger until {@link #release} is called for them.
     *
     * @param vm the VM
     */
    void removeVm(VmId vm);

    /**
     * Allows or forbids new placements on a VM. They are forbidden, for example, while the session
     * of its agent is not confirmed.
     *
     * @param vm the VM
     * @param schedulable true if tasks may be placed on the VM
     */
    void setSchedulable(VmId vm, boolean schedulable);

    /**
     * Sets the data centres that are out of service and get no new tasks.
     *
     * @param outOfService data centres that are out of service
     */
    void setOutOfServiceDataCentres(Set<DataCentreId> outOfService);

    /**
     * Sets the quotas of all teams.
     *
     * @param quotas quota by team, for this partition
     */
    void setQuotas(Map<String, TeamQuota> quotas);

    /**
     * Adds a task to the pending queue of its team. If an earlier attempt of the task still holds
     * resources, the task is queued when they are released.
     *
     * @param task the task
     */
    void enqueue(PendingTask task);

    /**
     * Removes a task from the pending queue. Has no effect if the task is not pending.
     *
     * @param task the task
     */
    void dequeue(TaskId task);

    /**
     * Adds a task to the ledger that is already running, after a recovery.
     *
     * @param task the task
     * @param vm VM that runs the task
     */
    void adopt(PendingTask task, VmId vm);

    /**
     * Adds a task to the ledger that is already running with reserved resources other than the
     * declared ones.
     *
     * @param task the task
     * @param vm VM that runs the task
     * @param reserved resources that the agent has reserved for it
     */
    void adopt(PendingTask task, VmId vm, Resources reserved);

    /**
     * Sets whether all VMs of the partition have had time to register. While false, no task is
     * reported as never fitting, because a VM that has not registered yet may be large enough.
     * Initially true.
     *
     * @param complete false after a change of owner, until the sessions of the agents are known
     */
    void setAllVmsRegistered(boolean complete);

    /**
     * Releases the resources of a task. Has no effect if the task holds none.
     *
     * @param task the task
     */
    void release(TaskId task);

    /**
     * Schedules pending tasks. A placed task is removed from its queue and added to the ledger
     * before the decision is returned. A preempted task stays in the ledger until {@link #release}
     * is called for it.
     *
     * @param limit number of decisions after which no further task is considered; the victims of
     *     one urgent task are always returned together
     * @return the decisions in the order in which they were taken
     */
    List<SchedulingDecision> schedule(int limit);

    /**
     * Records that an attempt of a task succeeded on a VM.
     *
     * @param task the task
     * @param vm the VM
     */
    void recordSuccess(TaskId task, VmId vm);

    /**
     * Records that an attempt of a task failed on a VM. Repeated failures quarantine the VM.
     *
     * @param task the task
     * @param vm the VM
     */
    void recordFailure(TaskId task, VmId vm);

    /**
     * Records a sample of the usage or latency of a task.
     *
     * @param sample the sample
     */
    void recordUsage(UsageObservation sample);

    /**
     * Decides how to reduce interference on the VMs with new samples.
     *
     * @return actions against batch tasks
     */
    List<InterferenceAction> controlInterference();

    /**
     * Returns what has been learned about task classes, to be stored in the snapshot of the
     * partition.
     *
     * @return the learned state
     */
    LearnedState learnedState();

    /**
     * Restores the state that an earlier owner of the partition has learned.
     *
     * @param state the learned state
     */
    void restoreLearnedState(LearnedState state);

    /**
     * Explains why the tasks of a job are waiting.
     *
     * @param job the job
     * @return explanation that tells an operator what to do
     */
    String explain(JobId job);
}
