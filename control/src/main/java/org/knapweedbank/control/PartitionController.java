package org.knapweedbank.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.config.TeamSettings;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.TaskScheduler;
import org.knapweedbank.scheduling.TeamQuota;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.TaskList;
import org.knapweedbank.wire.TaskReport;

/**
 * Controls one partition under one ownership: the sessions of its VMs, the placement, start and end
 * of tasks, the drain of data centres, and recovery. The controller performs no I/O of its own:
 * events arrive through its methods, effects leave through {@link ControllerOutput} and {@link
 * AgentControlConnection}, and time comes from the clock. Not thread-safe; used on one thread only.
 */
public final class PartitionController {
    private final PartitionContext mContext;
    private final AttemptControl mAttempts;
    private final TaskStarter mStarter;
    private final SessionControl mSessions;
    private final JobControl mJobs;
    private final DataCentreDrain mDrain;
    private long mAllVmsRegisteredNanos;
    private boolean mAllVmsRegistered;

    /**
     * Creates the controller of a partition.
     *
     * @param partition number of the partition
     * @param epoch epoch of the ownership, sent as the fencing token of all commands
     * @param settings durations and limits
     * @param clock source of monotonic and wall-clock time
     * @param scheduler scheduler without VMs or tasks
     * @param output appends to the journal and calls workers
     * @param counters meters of starts, evictions, jobs, attempt ends and expired VMs
     */
    public PartitionController(
            int partition,
            long epoch,
            ControlSettings settings,
            Clock clock,
            TaskScheduler scheduler,
            ControllerOutput output,
            ControlCounters counters) {
        mContext =
                new PartitionContext(
                        partition, epoch, settings, clock, scheduler, output, counters);
        mAttempts = new AttemptControl(mContext);
        mStarter = new TaskStarter(mContext, mAttempts);
        mSessions = new SessionControl(mContext, mAttempts, mStarter);
        mJobs = new JobControl(mContext, mAttempts, mStarter);
        mDrain = new DataCentreDrain(mContext, mAttempts);
    }

    /**
     * Restores the state from the journal. Must be called once, before any other event.
     *
     * @param records records of the journal in order
     */
    public void recover(List<JournalRecord> records) {
        PartitionState state = mContext.state();
        records.forEach(state::apply);
        state.assumeAllStarted();
        mContext.scheduler().restoreLearnedState(state.learnedState());
        mContext.scheduler().setAllVmsRegistered(false);
        mAllVmsRegisteredNanos = mContext.nowNanos() + mContext.settings().sessionTtl().toNanos();
        mSessions.createInheritedSessions();
        state.jobs().stream()
                .flatMap(job -> job.tasks().stream())
                .filter(TaskEntry::isPending)
                .forEach(mAttempts::enqueue);
    }

    /**
     * Applies a configuration: the quotas of the teams, the data centres in service, and the listed
     * jobs.
     *
     * @param configuration configuration, whose generation must not be lower than that of the last
     *     one
     */
    public void configure(SiteConfiguration configuration) {
        mContext.setConfiguration(configuration);
        mContext.scheduler().setOutOfServiceDataCentres(mContext.removedDataCentres());
        mContext.scheduler().setQuotas(quotas(configuration));
        mJobs.applyConfiguration(configuration);
        mDrain.drain();
    }

    private static Map<String, TeamQuota> quotas(SiteConfiguration configuration) {
        int partitions = Partitions.count(configuration);
        Map<String, TeamQuota> quotas = new LinkedHashMap<>();
        configuration.teams().forEach(team -> quotas.put(team.name(), quota(team, partitions)));
        return quotas;
    }

    private static TeamQuota quota(TeamSettings team, int partitions) {
        return new TeamQuota(team.deservedPerPartition(partitions), team.weight(), team.priority());
    }

    /**
     * Records that the store confirmed the current configuration as the newest one.
     *
     * @param confirmedNanos monotonic time at which the confirming read was sent
     */
    public void recordConfigurationConfirmation(long confirmedNanos) {
        mContext.recordConfigurationConfirmation(confirmedNanos);
    }

    /**
     * Submits a job. A repeated submission of the same specification has no effect.
     *
     * @param spec specification of the job
     * @param fromConfiguration true if the configuration lists it
     * @param reply callback that receives the result; after the journal has committed the job, or
     *     at once if nothing was appended
     */
    public void submit(
            JobSpec spec, boolean fromConfiguration, Consumer<JobResult<JobSummary>> reply) {
        mJobs.submit(spec, fromConfiguration, reply);
    }

    /**
     * Cancels a job.
     *
     * @param id identifier of the job
     * @param reply callback that receives the result; after the journal has committed the
     *     cancellation, or at once if nothing was appended
     */
    public void cancel(JobId id, Consumer<JobResult<JobSummary>> reply) {
        mJobs.cancel(id, reply);
    }

    /**
     * Returns the summaries of all jobs of the partition.
     *
     * @return one summary for each job
     */
    public List<JobSummary> summaries() {
        return mJobs.summaries();
    }

    /**
     * Returns a job with its tasks.
     *
     * @param id identifier of the job
     * @return the job, or empty if it does not exist
     */
    public Optional<JobDetail> detail(JobId id) {
        return mJobs.detail(id);
    }

    /**
     * Explains why a job waits.
     *
     * @param id identifier of the job
     * @return an explanation for the operator, or empty if the job does not exist
     */
    public Optional<String> explain(JobId id) {
        return mJobs.explain(id);
    }

    /**
     * Opens a session for an agent and reconciles the attempts that the agent holds with the
     * journal.
     *
     * @param connection connection of the agent
     * @param open session request with the VM and the attempts that the agent holds
     */
    public void open(AgentControlConnection connection, SessionOpen open) {
        mSessions.open(connection, open);
    }

    /**
     * Handles the end of a connection. The leases of the VM remain in force until they expire.
     *
     * @param connection connection that has ended
     */
    public void closed(AgentControlConnection connection) {
        mSessions.closed(connection);
    }

    /**
     * Handles a heartbeat. A heartbeat that is not newer than the last one has no effect.
     *
     * @param vm VM of the session
     * @param heartbeat heartbeat of the agent
     */
    public void heartbeat(VmId vm, Heartbeat heartbeat) {
        mSessions.heartbeat(vm, heartbeat);
    }

    /**
     * Handles the reply to a task list request.
     *
     * @param vm VM of the session
     * @param list attempts that the agent holds
     */
    public void taskList(VmId vm, TaskList list) {
        mSessions.taskList(vm, list);
    }

    /**
     * Handles a report about an attempt.
     *
     * @param vm VM of the session
     * @param report report of the agent
     */
    public void report(VmId vm, TaskReport report) {
        mSessions.report(vm, report);
    }

    /**
     * Schedules waiting tasks and sends the starts of placed tasks whose start permits can be
     * issued.
     */
    public void schedule() {
        mStarter.schedule();
    }

    /** Throttles or evicts batch tasks that interfere with services. */
    public void controlInterference() {
        mContext.scheduler().controlInterference().forEach(mAttempts::applyInterferenceAction);
    }

    /**
     * Handles expired sessions, data centres that are being drained, and jobs past their retention.
     * Must be called every second.
     */
    public void tick() {
        if (!mAllVmsRegistered && mContext.nowNanos() - mAllVmsRegisteredNanos >= 0) {
            mAllVmsRegistered = true;
            mContext.scheduler().setAllVmsRegistered(true);
        }
        mAttempts.enqueueDelayed();
        mDrain.drain();
        mSessions.checkSessions();
        mJobs.retireExpiredJobs();
    }

    /**
     * Returns a snapshot of the state, including the effect of all records appended so far.
     *
     * @return records for each job, for each VM, and for what the scheduler has learned
     */
    public List<JournalRecord> snapshot() {
        mContext.state().setLearnedState(mContext.scheduler().learnedState());
        return mContext.state().snapshot();
    }
}
