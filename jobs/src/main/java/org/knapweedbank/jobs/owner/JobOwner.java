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
import org.knapweedbank.jobs.EndedRun;
import org.knapweedbank.jobs.JobQueue;
import org.knapweedbank.jobs.JobState;
import org.knapweedbank.jobs.JobSubmission;
import org.knapweedbank.jobs.OrderCoverage;
import org.knapweedbank.jobs.QueueKey;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.jobs.admission.AdmissionSettings;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.Timestamp;

/**
 * Owns all jobs during one term: accepts jobs, places their tasks, tracks each run until it ends
 * and reports which records have to be written to the store. All calls come from one thread. {@link
 * #schedule} is called after a batch of inputs and at least every few hundred milliseconds.
 */
public final class JobOwner {
    private final OwnerState mState;
    private final RunTracker mRunTracker;
    private final VmTracker mVmTracker;
    private final TaskPlacer mPlacer;
    private final UnconfirmedRunLogger mUnconfirmedRunLogger;

    /** Decides about new jobs; empty if all are admitted. */
    private final Optional<AdmissionGate> mAdmissionGate;

    /**
     * Creates the owner for a new term.
     *
     * @param settings time limits
     * @param clock source of monotonic and wall time
     * @param output receives the orders to agents
     * @param log receives the decision log
     * @param takeover takeover that begins the term
     * @param list VM list read from the store
     */
    public JobOwner(
            OwnerSettings settings,
            Clock clock,
            OwnerOutput output,
            DecisionLog log,
            Takeover takeover,
            VmList list) {
        mState = new OwnerState(settings, clock, output, log, takeover);
        mRunTracker = new RunTracker(mState);
        mVmTracker = new VmTracker(mState, mRunTracker, list, takeover.formerOwnerConfirmable());
        mPlacer = new TaskPlacer(mState, mRunTracker, mVmTracker);
        mUnconfirmedRunLogger = new UnconfirmedRunLogger(mState);
        mAdmissionGate =
                Optional.of(settings.scheduling().admission())
                        .filter(AdmissionSettings::enabled)
                        .map(
                                admission ->
                                        new AdmissionGate(mState, admission, mPlacer::trustedVms));
    }

    /**
     * Decodes the stored VM list.
     *
     * @param record the record, empty if there is none
     * @param revision store revision of the record, 0 if there is none
     * @return the VM list
     * @throws IOException when the record is malformed
     */
    public static VmList decodeVmList(byte[] record, long revision) throws IOException {
        return VmList.decode(record, revision);
    }

    /**
     * Loads a job that an earlier owner wrote to the store.
     *
     * @param record the stored record
     * @param revision store revision of the record
     * @throws IOException when the record is malformed
     */
    public void load(byte[] record, long revision) throws IOException {
        Job job = JobRecords.decode(record);
        job.markLoaded(revision, mState.now());
        mState.addJob(job);
    }

    /**
     * Applies a new configuration. Unfinished jobs whose queue is no longer configured keep the
     * queue settings that they have.
     *
     * @param queues all configured queues
     */
    public void configure(Collection<JobQueue> queues) {
        mState.mQueues =
                queues.stream().collect(Collectors.toMap(JobQueue::key, Function.identity()));
        mState.unfinishedJobs()
                .forEach(
                        job ->
                                Optional.ofNullable(mState.mQueues.get(job.queue().key()))
                                        .ifPresent(job::setQueue));
    }

    /**
     * Sets the data centres that are out of service and get no new tasks.
     *
     * @param dataCentres all data centres that are out of service
     */
    public void setEvacuatedDataCentres(Set<DataCentreId> dataCentres) {
        mState.mEvacuatedDataCentres = Set.copyOf(dataCentres);
    }

    /**
     * Records that the configuration and the set of evacuated data centres match the store at this
     * moment.
     */
    public void markViewCurrent() {
        mState.mViewCurrentAt = Timestamp.now(mState.mClock);
    }

    /**
     * Records that a write was carried out, which no later term had prevented.
     *
     * @param sentAt moment at which it was sent to the store
     */
    public void confirmByWrite(Timestamp sentAt) {
        mState.confirmByWrite(sentAt);
    }

    /**
     * Records that the store shows no later term, and which entries are registered.
     *
     * @param askedAt moment at which the store was asked
     */
    public void confirmByStore(Timestamp askedAt) {
        mState.confirmByStore(askedAt);
    }

    /**
     * Records that all other entries have stated that they have begun no later term.
     *
     * @param askedAt moment at which they were asked
     */
    public void confirmByEntries(Timestamp askedAt) {
        mState.confirmByEntries(askedAt);
    }

    /**
     * Records that no earlier owner answers an agent after some time.
     *
     * @param untilMillis the time, monotonic in milliseconds; may have passed
     * @param evidence what shows it, for the log
     */
    public void limitEarlierOwners(long untilMillis, String evidence) {
        mVmTracker.limitEarlierOwners(untilMillis, evidence);
    }

    /**
     * Returns how long ago no later term is known to have begun.
     *
     * @return the time since then
     */
    public Duration confirmationAge() {
        return mState.confirmationAge();
    }

    /**
     * Returns whether the ownership has been confirmed recently enough to act as owner.
     *
     * @return true if no later owner can act yet
     */
    public boolean ownershipConfirmed() {
        return mState.ownershipConfirmed();
    }

    /**
     * Accepts a job, or returns the known job if its identifier was submitted before.
     *
     * @param submission the job as submitted by the caller
     * @param queue key of the queue
     * @return the job, or the reason why it is refused
     */
    public SubmitResult submit(JobSubmission submission, QueueKey queue) {
        Job known = mState.findJob(submission.id());
        if (known != null) {
            return new SubmitResult.Known(known);
        }
        JobQueue configured = mState.mQueues.get(queue);
        if (configured == null) {
            return new SubmitResult.Refused("the owner has no such queue", Duration.ofSeconds(1));
        }
        Instant accepted = mState.mClock.wallTime();
        Job job = new Job(submission, configured, accepted);
        Optional<SubmitResult.Overloaded> refusal =
                mAdmissionGate.flatMap(gate -> gate.refusal(job));
        if (refusal.isPresent()) {
            return refusal.get();
        }
        long now = mState.now();
        job.tasks().forEach(task -> task.mWaitingSince = now);
        mState.addJob(job);
        mState.mLog.record(
                "job.created",
                job.id().value(),
                "steps",
                submission.steps().stream().map(StepSpec::summary).toList(),
                "priority",
                configured.priority(),
                "objective_ms",
                JobUrgency.objective(job, mState.mRunTimeEstimator).toMillis());
        return new SubmitResult.Known(job);
    }

    /**
     * Removes a job that has no record in the store: it was never written, or it has expired and
     * its record has been removed.
     *
     * @param job the job
     */
    public void removeJob(Job job) {
        mState.removeJob(job);
    }

    /**
     * Cancels a job and orders its runs to stop.
     *
     * @param id identifier of the job
     * @return the job, whose cancellation takes effect once its current version is stored; empty if
     *     the job is unknown
     */
    public Optional<Job> cancel(JobId id) {
        Job job = mState.findJob(id);
        if (job != null && !job.finished()) {
            job.mCancelled = true;
            job.finish(mState.now());
            mState.mLog.record("job.cancelled", id.value());
            mRunTracker.stopAll(job, "job was cancelled");
        }
        return Optional.ofNullable(job);
    }

    /**
     * Returns a stored job.
     *
     * @param id identifier of the job
     * @return the job; empty if it is unknown or not stored yet
     */
    public Optional<Job> find(JobId id) {
        return Optional.ofNullable(mState.findJob(id)).filter(Job::stored);
    }

    /**
     * Returns whether a job is known, whether it is stored or still being written.
     *
     * @param id identifier of the job
     * @return true if the job is known; it may then still become stored, even if a write got no
     *     answer
     */
    public boolean knows(JobId id) {
        return mState.findJob(id) != null;
    }

    /**
     * Counts the unfinished stored jobs of a queue of which no task has started.
     *
     * @param queue key of the queue
     * @return the count
     */
    public long countPendingJobs(QueueKey queue) {
        return mState.unfinishedJobs().stream()
                .filter(job -> job.stored() && job.queue().key().equals(queue))
                .filter(job -> job.state() == JobState.QUEUED)
                .count();
    }

    /**
     * Handles the full state of a VM as reported by its agent. From then on the agent may get
     * orders.
     *
     * @param agent the agent of the VM
     * @param dataCentre data centre of the VM
     * @param report state of the VM
     * @param coverage orders that the report accounts for
     */
    public void handleReport(
            DaemonId agent, DataCentreId dataCentre, AgentReport report, OrderCoverage coverage) {
        mVmTracker.handleReport(agent, dataCentre, report, coverage);
    }

    /**
     * Handles the list of the runs on a VM.
     *
     * @param agent the agent of the VM
     * @param worker incarnation of the worker
     * @param starting runs whose start has no known outcome
     * @param running all runs that the worker has listed
     * @param coverage orders that the lists account for
     */
    public void handleProgress(
            DaemonId agent,
            WorkerId worker,
            List<RunStatus> starting,
            List<RunStatus> running,
            OrderCoverage coverage) {
        mVmTracker.handleProgress(agent, worker, starting, running, coverage);
    }

    /**
     * Releases runs that a worker does not run any more, although their ends are not known, unless
     * they may have completed their tasks.
     *
     * @param agent the agent of the VM
     * @param worker incarnation of the worker
     * @param missing the runs
     * @return those of the runs that are released, or were before
     */
    public List<RunStatus> releaseMissing(
            DaemonId agent, WorkerId worker, List<RunStatus> missing) {
        Vm vm = mState.mVms.get(agent);
        return vm != null && vm.hasWorker(worker)
                ? missing.stream().filter(run -> mRunTracker.releaseMissing(vm, run)).toList()
                : List.of();
    }

    /**
     * Handles the ended runs that a worker lists.
     *
     * @param agent the agent of the VM
     * @param worker incarnation of the worker
     * @param ends the ended runs in ascending order of their numbers
     */
    public void handleEndedRuns(DaemonId agent, WorkerId worker, List<EndedRun> ends) {
        Vm vm = mState.mVms.get(agent);
        if (vm != null && vm.hasWorker(worker)) {
            ends.forEach(end -> mRunTracker.handleEnd(vm, end));
            mState.mOutput.acknowledgeEnds(agent, vm.advanceAcknowledgedEnd());
        }
    }

    /**
     * Handles the outcome of a start order.
     *
     * @param agent the agent of the VM
     * @param task name of the task
     * @param run number of the run
     * @param outcome outcome of the order
     */
    public void handleStartOutcome(DaemonId agent, TaskName task, long run, StartOutcome outcome) {
        Optional.ofNullable(mState.mVms.get(agent))
                .ifPresent(vm -> mRunTracker.handleStartOutcome(vm, task, run, outcome));
    }

    /**
     * Handles a change of the attributes of a worker, such as its capacity or that it is draining.
     *
     * @param agent the agent of the VM
     * @param worker the new attributes
     */
    public void handleWorkerUpdate(DaemonId agent, WorkerInfo worker) {
        mVmTracker.handleWorkerUpdate(agent, worker);
    }

    /**
     * Handles the statement of an agent that nothing runs on its VM.
     *
     * @param agent the agent of the VM
     * @param reason reason for the decision log
     */
    public void handleNoWorker(DaemonId agent, String reason) {
        mVmTracker.handleNoWorker(agent, reason);
    }

    /**
     * Handles the loss of the connection to an agent.
     *
     * @param agent the agent
     */
    public void handleDisconnect(DaemonId agent) {
        mVmTracker.handleDisconnect(agent);
    }

    /**
     * Grants an agent's request for authority over task leases if it may be answered, and then
     * records the time of the answer.
     *
     * @param agent the agent
     * @param worker worker whose leases are meant
     * @return true if the answer has to be sent now
     */
    public boolean grantAuthority(DaemonId agent, WorkerId worker) {
        return mVmTracker.grantAuthority(agent, worker);
    }

    /**
     * Handles the statement of an agent that its worker does not answer it, so that a grant would
     * extend no lease.
     *
     * @param agent the agent
     */
    public void handleSilentWorker(DaemonId agent) {
        mVmTracker.handleSilentWorker(agent);
    }

    /**
     * Returns whether the worker of a VM was given up and the VM has not reported one since.
     *
     * @param agent the agent
     * @return true if the VM has reported before and has no worker
     */
    public boolean hasLostWorker(DaemonId agent) {
        return mVmTracker.hasLostWorker(agent);
    }

    /**
     * Removes workers that have been unreachable for longer than their leases and starts tasks that
     * are due.
     */
    public void schedule() {
        mVmTracker.removeUnreachable();
        mPlacer.place();
        mUnconfirmedRunLogger.logIfDue();
        mAdmissionGate.ifPresent(
                gate -> gate.roundEnded(mPlacer.mayStart(), mVmTracker.hasUnresolvedVms()));
    }

    /**
     * Returns jobs whose state has to be written to the store.
     *
     * @param limit maximum number of jobs
     * @return the jobs, in the order in which the owner accepted or loaded them
     */
    public List<Job> dirtyJobs(int limit) {
        return mState.jobs().stream().filter(Job::dirty).limit(limit).toList();
    }

    /**
     * Returns the jobs whose records have to be written next.
     *
     * @param limit maximum number of jobs
     * @return the jobs, the most urgent first; without those whose progress is still collected
     */
    public List<Job> jobsToWrite(int limit) {
        long now = mState.now();
        return mState.jobs().stream()
                .filter(job -> RecordOrder.isDue(job, now))
                .sorted(RecordOrder.ORDER)
                .limit(limit)
                .toList();
    }

    /**
     * Records that a job record is stored.
     *
     * @param job the job
     * @param version version of the job that the record holds
     * @param revision store revision of the record
     */
    public void markWritten(Job job, long version, long revision) {
        job.markWritten(version, revision, mState.now());
    }

    /**
     * Returns the VM list, which has to be written to the store while it is dirty.
     *
     * @return the VM list
     */
    public VmList vmList() {
        return mVmTracker.vmList();
    }

    /**
     * Records that a record of the VM list is stored.
     *
     * @param version version of the list that the record holds
     * @param revision store revision of the record
     */
    public void markVmListWritten(long version, long revision) {
        mVmTracker.vmList().markWritten(version, revision);
        mVmTracker.listStored();
    }

    /** Acknowledges the ended runs whose effect on their jobs has been stored. */
    public void acknowledge() {
        mState.mVms.values().stream()
                .filter(vm -> vm.mConnected && vm.mWorker != null)
                .forEach(
                        vm -> {
                            long previousEnd = vm.mAcknowledgedEnd;
                            if (vm.advanceAcknowledgedEnd() > previousEnd) {
                                mState.mOutput.acknowledgeEnds(vm.mAgent, vm.mAcknowledgedEnd);
                            }
                        });
    }

    /**
     * Returns finished and stored jobs whose retention time is over.
     *
     * @return the jobs, none of which has a running task
     */
    public List<Job> expired() {
        long limit = mState.now() - mState.mSettings.retention().toMillis();
        return mState.jobs().stream()
                .filter(job -> job.finished() && !job.dirty() && job.finishedAt() < limit)
                .filter(job -> !job.hasRuns())
                .toList();
    }
}
