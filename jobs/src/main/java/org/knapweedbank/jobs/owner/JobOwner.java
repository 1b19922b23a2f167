package org.knapweedbank.jobs.owner;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.knapweedbank.jobs.AgentReport;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.EndedTask;
import org.knapweedbank.jobs.JobQueue;
import org.knapweedbank.jobs.JobState;
import org.knapweedbank.jobs.JobSubmission;
import org.knapweedbank.jobs.QueueKey;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.time.Clock;

/**
 * Owner of all jobs during one term: accepts them, places their tasks, follows runs to their end
 * and tells which records have to be stored. Calls come from one thread; {@link #schedule} is
 * called after a batch of inputs and at least every few hundred milliseconds.
 */
public final class JobOwner {
    private final OwnerState mState;
    private final AttemptTracker mAttempts;
    private final VmTracker mVms;
    private final TaskPlacer mPlacer;

    /**
     * Creates the owner of a new term.
     *
     * @param settings time bounds
     * @param clock source of time
     * @param output receives orders to agents
     * @param log receives decisions
     * @param term number of the term
     * @param list stored list of VMs
     */
    public JobOwner(
            OwnerSettings settings,
            Clock clock,
            OwnerOutput output,
            DecisionLog log,
            long term,
            VmList list) {
        mState = new OwnerState(settings, clock, output, log, term);
        mAttempts = new AttemptTracker(mState);
        mVms = new VmTracker(mState, mAttempts, list);
        mPlacer = new TaskPlacer(mState, mAttempts, mVms);
    }

    /**
     * Decodes the stored list of VMs.
     *
     * @param record the record, empty if there is none
     * @param revision its store revision, 0 if there is none
     * @return the list
     * @throws IOException when the record is malformed
     */
    public static VmList vmList(byte[] record, long revision) throws IOException {
        return VmList.decode(record, revision);
    }

    /**
     * Loads a job that an earlier owner stored.
     *
     * @param record the stored record
     * @param revision its store revision
     * @throws IOException when the record is malformed
     */
    public void load(byte[] record, long revision) throws IOException {
        Job job = JobRecords.decode(record);
        job.loaded(revision, mState.now());
        mState.mJobs.put(job.id(), job);
    }

    /**
     * Takes a new configuration.
     *
     * @param queues the queues
     */
    public void configure(Collection<JobQueue> queues) {
        mState.mQueues =
                queues.stream().collect(Collectors.toMap(JobQueue::key, Function.identity()));
        mState.mJobs.values().stream()
                .filter(job -> !job.finished())
                .forEach(
                        job ->
                                Optional.ofNullable(mState.mQueues.get(job.queue().key()))
                                        .ifPresent(job::queue));
    }

    /**
     * Takes the set of data centres that are out of service.
     *
     * @param dataCentres the data centres
     */
    public void evacuate(Set<DataCentreId> dataCentres) {
        mState.mEvacuated = Set.copyOf(dataCentres);
    }

    /** Notes that configuration and evacuations are known as they are in the store now. */
    public void viewIsCurrent() {
        mState.mViewAt = mState.now();
    }

    /** Notes that the store has just confirmed the ownership. */
    public void confirmed() {
        mState.mConfirmedAt = mState.now();
    }

    /**
     * Accepts a job, or finds it if it is known.
     *
     * @param submission what the caller submits
     * @param queue key of the queue
     * @return the job, or why it is refused
     */
    public SubmitResult submit(JobSubmission submission, QueueKey queue) {
        Job known = mState.mJobs.get(submission.id());
        if (known != null) {
            return new SubmitResult.Known(known);
        }
        JobQueue configured = mState.mQueues.get(queue);
        if (configured == null) {
            return new SubmitResult.Refused("the owner has no such queue", Duration.ofSeconds(1));
        }
        Instant accepted = mState.mClock.wallTime();
        Job job = new Job(submission, configured, accepted);
        mState.mJobs.put(job.id(), job);
        mState.mLog.record(
                "job.created",
                job.id().value(),
                "steps",
                submission.steps().stream().map(StepSpec::summary).toList(),
                "priority",
                configured.priority(),
                "objective_ms",
                JobUrgency.objective(job, mState.mRunTimes).toMillis());
        return new SubmitResult.Known(job);
    }

    /**
     * Forgets a job that was never written to the store.
     *
     * @param job the job
     */
    public void withdraw(Job job) {
        mState.mJobs.remove(job.id(), job);
    }

    /**
     * Cancels a job.
     *
     * @param id the job
     * @return the job, whose cancelling counts once its present version is stored; empty if unknown
     */
    public Optional<Job> cancel(JobId id) {
        Job job = mState.mJobs.get(id);
        if (job != null && !job.finished()) {
            job.mCancelled = true;
            job.finish(mState.now());
            mState.mLog.record("job.cancelled", id.value());
            mAttempts.stopAll(job, "job is cancelled");
        }
        return Optional.ofNullable(job);
    }

    /**
     * Finds a job.
     *
     * @param id the job
     * @return the job; empty if it is unknown or not stored yet
     */
    public Optional<Job> find(JobId id) {
        return Optional.ofNullable(mState.mJobs.get(id)).filter(Job::stored);
    }

    /**
     * Tells whether a job is known, be it stored or on its way to the store.
     *
     * @param id the job
     * @return true if it is known; it may then still be stored even if a write got no answer
     */
    public boolean knows(JobId id) {
        return mState.mJobs.containsKey(id);
    }

    /**
     * Counts the accepted jobs of a queue of which no task has started.
     *
     * @param queue the queue
     * @return the count
     */
    public long pending(QueueKey queue) {
        return mState.mJobs.values().stream()
                .filter(job -> job.stored() && job.queue().key().equals(queue))
                .filter(job -> job.state() == JobState.QUEUED && !job.finished())
                .count();
    }

    /**
     * Takes the full state of a VM; from now on its agent gets orders.
     *
     * @param agent the agent
     * @param dataCentre where the VM is
     * @param report its state
     * @param sameProcess true if the agent is the process that got all earlier orders
     */
    public void report(
            DaemonId agent, DataCentreId dataCentre, AgentReport report, boolean sameProcess) {
        mVms.report(agent, dataCentre, report, sameProcess);
    }

    /**
     * Takes the list of what runs on a VM.
     *
     * @param agent the agent
     * @param worker incarnation of the worker
     * @param running all that it runs
     */
    public void progress(DaemonId agent, WorkerId worker, List<RunningTask> running) {
        mVms.progress(agent, worker, running);
    }

    /**
     * Takes ends that a worker lists.
     *
     * @param agent the agent
     * @param worker incarnation of the worker
     * @param ends the ends in order of their numbers
     */
    public void ended(DaemonId agent, WorkerId worker, List<EndedTask> ends) {
        Vm vm = mState.mVms.get(agent);
        if (vm != null && vm.runs(worker)) {
            ends.forEach(end -> mAttempts.ended(vm, end));
            mState.mOutput.acknowledgeEnds(agent, vm.acknowledgeable());
        }
    }

    /**
     * Takes the outcome of a start order.
     *
     * @param agent the agent
     * @param task the task
     * @param run its run
     * @param outcome what became of it
     */
    public void outcome(DaemonId agent, TaskName task, long run, StartOutcome outcome) {
        Optional.ofNullable(mState.mVms.get(agent))
                .ifPresent(vm -> mAttempts.outcome(vm, task, run, outcome));
    }

    /**
     * Takes a change in what a worker says of itself.
     *
     * @param agent the agent
     * @param worker the worker
     */
    public void update(DaemonId agent, WorkerInfo worker) {
        mVms.update(agent, worker);
    }

    /**
     * Takes the end of a worker: all that ran there has ended.
     *
     * @param agent the agent
     * @param worker the incarnation
     * @param reason cause for the log
     */
    public void workerLost(DaemonId agent, WorkerId worker, String reason) {
        mVms.lost(agent, worker, reason);
    }

    /**
     * Takes the loss of the connection to an agent.
     *
     * @param agent the agent
     */
    public void disconnected(DaemonId agent) {
        mVms.disconnected(agent);
    }

    /**
     * Tells whether an agent's request for authority over leases may be answered.
     *
     * @param agent the agent
     * @return true if the answer has to be sent now
     */
    public boolean answers(DaemonId agent) {
        return mVms.answers(agent);
    }

    /** Gives up VMs out of reach and starts what is due. */
    public void schedule() {
        mVms.expire();
        mPlacer.place();
    }

    /**
     * Jobs whose state has to be written.
     *
     * @param limit largest number
     * @return the jobs, longest known first
     */
    public List<Job> unwritten(int limit) {
        return mState.mJobs.values().stream().filter(Job::dirty).limit(limit).toList();
    }

    /**
     * Notes that a record of a job is stored.
     *
     * @param job the job
     * @param version version of the record
     * @param revision store revision of the record
     */
    public void written(Job job, long version, long revision) {
        job.written(version, revision);
    }

    /**
     * List of VMs that has to be stored when it is dirty.
     *
     * @return the list
     */
    public VmList vmList() {
        return mVms.list();
    }

    /**
     * Notes that a record of the list of VMs is stored.
     *
     * @param version version of the record
     * @param revision store revision of the record
     */
    public void listWritten(long version, long revision) {
        mVms.list().written(version, revision);
        mVms.stored();
    }

    /** Acknowledges the ends whose effect is stored by now. */
    public void acknowledge() {
        mState.mVms.values().stream()
                .filter(vm -> vm.mConnected && vm.mWorker != null)
                .forEach(
                        vm -> {
                            long before = vm.mAcknowledged;
                            if (vm.acknowledgeable() > before) {
                                mState.mOutput.acknowledgeEnds(vm.mAgent, vm.mAcknowledged);
                            }
                        });
    }

    /**
     * Finished and stored jobs that need not be kept any longer.
     *
     * @return the jobs
     */
    public List<Job> expired() {
        long limit = mState.now() - mState.mSettings.retention().toMillis();
        return mState.mJobs.values().stream()
                .filter(job -> job.finished() && !job.dirty() && job.finishedAt() < limit)
                .filter(job -> job.tasks().allMatch(task -> task.mAttempt == null))
                .toList();
    }
}
