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
final class PartitionController {
    private final PartitionContext mContext;
    private final AttemptControl mAttempts;
    private final TaskStarter mStarter;
    private final SessionControl mSessions;
    private final JobControl mJobs;
    private final DataCentreDrain mDrain;
    private long mFleetCompleteNanos;
    private boolean mFleetComplete;

    PartitionController(
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

    /** Restores the state from the journal; called once, before any other event. */
    void recover(List<JournalRecord> records) {
        PartitionState state = mContext.state();
        records.forEach(state::apply);
        state.assumeAllStarted();
        mContext.scheduler().setFleetComplete(false);
        mFleetCompleteNanos = mContext.nowNanos() + mContext.settings().sessionTtl().toNanos();
        mSessions.inherit();
        state.jobs().stream()
                .flatMap(job -> job.tasks().stream())
                .filter(TaskEntry::isPending)
                .forEach(mAttempts::enqueue);
    }

    void configure(SiteConfiguration configuration) {
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

    void confirmView(long confirmedNanos) {
        mContext.confirmView(confirmedNanos);
    }

    void submit(JobSpec spec, boolean fromConfiguration, Consumer<JobResult<JobSummary>> reply) {
        mJobs.submit(spec, fromConfiguration, reply);
    }

    void cancel(JobId id, Consumer<JobResult<JobSummary>> reply) {
        mJobs.cancel(id, reply);
    }

    List<JobSummary> summaries() {
        return mJobs.summaries();
    }

    Optional<JobDetail> detail(JobId id) {
        return mJobs.detail(id);
    }

    Optional<String> explain(JobId id) {
        return mJobs.explain(id);
    }

    void open(AgentSession connection, SessionOpen open) {
        mSessions.open(connection, open);
    }

    void closed(AgentSession connection) {
        mSessions.closed(connection);
    }

    void heartbeat(VmId vm, Heartbeat heartbeat) {
        mSessions.heartbeat(vm, heartbeat);
    }

    void taskList(VmId vm, TaskList list) {
        mSessions.taskList(vm, list);
    }

    void report(VmId vm, TaskReport report) {
        mSessions.report(vm, report);
    }

    void schedule() {
        mStarter.schedule();
    }

    void controlInterference() {
        mContext.scheduler().controlInterference().forEach(mAttempts::control);
    }

    /** Periodic work, about once a second. */
    void tick() {
        if (!mFleetComplete && mContext.nowNanos() - mFleetCompleteNanos >= 0) {
            mFleetComplete = true;
            mContext.scheduler().setFleetComplete(true);
        }
        mDrain.drain();
        mSessions.check();
        mJobs.retire();
    }

    /** State with the effect of all records appended so far. */
    List<JournalRecord> snapshot() {
        return mContext.state().snapshot();
    }
}
