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
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.TaskScheduler;
import org.knapweedbank.scheduling.TeamQuota;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.TaskList;
import org.knapweedbank.wire.TaskReport;

/**
 * Decides about one partition under one ownership: sessions of its VMs, placement and start of
 * tasks, their ends, data centres that leave, and recovery. Pure: events go in through its methods,
 * effects go out through {@link ControllerOutput} and {@link AgentSession#send}; time comes from
 * the clock. Used by one thread.
 */
public final class PartitionController {
    private final PartitionContext mContext;
    private final AttemptControl mAttempts;
    private final TaskStarter mStarter;
    private final SessionControl mSessions;
    private final JobControl mJobs;
    private final DataCentreDrain mDrain;
    private long mFleetCompleteNanos;
    private boolean mFleetComplete;

    /**
     * Creates the controller of a partition.
     *
     * @param partition the partition
     * @param epoch epoch of the ownership
     * @param settings times and limits
     * @param clock the clock
     * @param scheduler scheduler without VMs or tasks
     * @param output carries out the effects
     * @param counters counts starts, ends and evictions
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
     * Restores the state from the journal; called once, before any other event.
     *
     * @param records the records in order
     */
    public void recover(List<JournalRecord> records) {
        PartitionState state = mContext.state();
        records.forEach(state::apply);
        state.assumeAllStarted();
        mContext.scheduler().restoreLearnedState(state.learned());
        mContext.scheduler().setFleetComplete(false);
        mFleetCompleteNanos = mContext.nowNanos() + mContext.settings().sessionTtl().toNanos();
        mSessions.inherit();
        state.jobs().stream()
                .flatMap(job -> job.tasks().stream())
                .filter(TaskEntry::isPending)
                .forEach(mAttempts::enqueue);
    }

    /**
     * Applies a configuration: quotas, data centres in service, and listed jobs.
     *
     * @param configuration the configuration; its generation is not below the last one
     */
    public void configure(SiteConfiguration configuration) {
        mContext.setConfiguration(configuration);
        mContext.scheduler().setRemovedDataCentres(mContext.removedDataCentres());
        mContext.scheduler().setQuotas(quotas(configuration));
        mJobs.applyConfiguration(configuration);
        mDrain.drain();
    }

    /** Each partition gets an equal part of a team's quota, since VMs are spread by a hash. */
    private static Map<String, TeamQuota> quotas(SiteConfiguration configuration) {
        int partitions = Partitions.count(configuration);
        Map<String, TeamQuota> quotas = new LinkedHashMap<>();
        configuration.teams().forEach(team -> quotas.put(team.name(), quota(team, partitions)));
        return quotas;
    }

    private static TeamQuota quota(TeamSettings team, int partitions) {
        Resources deserved = team.deserved();
        Resources share =
                new Resources(
                        divideUp(deserved.milliCpu(), partitions),
                        divideUp(deserved.memoryMb(), partitions),
                        (int) divideUp(deserved.accelerators(), partitions));
        return new TeamQuota(share, team.weight(), team.priority());
    }

    private static long divideUp(long amount, int parts) {
        return (amount + parts - 1) / parts;
    }

    /**
     * Records that the configuration was confirmed as the newest one.
     *
     * @param confirmedNanos monotonic time at which the confirming read was sent
     */
    public void confirmView(long confirmedNanos) {
        mContext.confirmView(confirmedNanos);
    }

    /**
     * Submits a job. A repeat of the same specification has no effect.
     *
     * @param spec the job
     * @param fromConfiguration true if the configuration lists it
     * @param reply told the result once the job is in the journal
     */
    public void submit(
            JobSpec spec, boolean fromConfiguration, Consumer<JobResult<JobSummary>> reply) {
        mJobs.submit(spec, fromConfiguration, reply);
    }

    /**
     * Cancels a job.
     *
     * @param id the job
     * @param reply told the result once the cancellation is in the journal
     */
    public void cancel(JobId id, Consumer<JobResult<JobSummary>> reply) {
        mJobs.cancel(id, reply);
    }

    /**
     * Lists the jobs.
     *
     * @return one summary for each job
     */
    public List<JobSummary> summaries() {
        return mJobs.summaries();
    }

    /**
     * Shows a job.
     *
     * @param id the job
     * @return the job with its tasks, or empty when it is not known
     */
    public Optional<JobDetail> detail(JobId id) {
        return mJobs.detail(id);
    }

    /**
     * Explains why a job waits.
     *
     * @param id the job
     * @return a sentence, or empty when the job is not known
     */
    public Optional<String> explain(JobId id) {
        return mJobs.explain(id);
    }

    /**
     * An agent opens a session. The attempts that it holds are compared with the journal.
     *
     * @param connection connection of the agent
     * @param open its VM and the attempts that it holds
     */
    public void open(AgentSession connection, SessionOpen open) {
        mSessions.open(connection, open);
    }

    /**
     * A connection has ended; the leases of its VM go on until they expire.
     *
     * @param connection the connection
     */
    public void closed(AgentSession connection) {
        mSessions.closed(connection);
    }

    /**
     * A heartbeat has arrived. One that is not newer than the last has no effect.
     *
     * @param vm VM of the session
     * @param heartbeat the heartbeat
     */
    public void heartbeat(VmId vm, Heartbeat heartbeat) {
        mSessions.heartbeat(vm, heartbeat);
    }

    /**
     * The answer to a task list request has arrived.
     *
     * @param vm VM of the session
     * @param list the attempts held
     */
    public void taskList(VmId vm, TaskList list) {
        mSessions.taskList(vm, list);
    }

    /**
     * A report about an attempt has arrived.
     *
     * @param vm VM of the session
     * @param report the report
     */
    public void report(VmId vm, TaskReport report) {
        mSessions.report(vm, report);
    }

    /** Makes decisions about waiting tasks, and sends the starts that may be sent. */
    public void schedule() {
        mStarter.schedule();
    }

    /** Throttles or evicts batch tasks that slow down services. */
    public void controlInterference() {
        mContext.scheduler().controlInterference().forEach(mAttempts::control);
    }

    /** Checks expiries, data centres that leave, and retention; to be called every second. */
    public void tick() {
        if (!mFleetComplete && mContext.nowNanos() - mFleetCompleteNanos >= 0) {
            mFleetComplete = true;
            mContext.scheduler().setFleetComplete(true);
        }
        mAttempts.enqueueDelayed();
        mDrain.drain();
        mSessions.check();
        mJobs.retire();
    }

    /**
     * State with the effect of all records appended so far.
     *
     * @return records for each job, each VM and what the scheduler has learned
     */
    public List<JournalRecord> snapshot() {
        mContext.state().setLearned(mContext.scheduler().learnedState());
        return mContext.state().snapshot();
    }
}
