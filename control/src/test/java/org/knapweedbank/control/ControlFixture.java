package org.knapweedbank.control;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedbank.config.DataCentreSettings;
import org.knapweedbank.config.ServiceSettings;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.config.TeamSettings;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.PartitionScheduler;
import org.knapweedbank.scheduling.SchedulerSettings;
import org.knapweedbank.time.ManualClock;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.ServiceLatency;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.StartTask;
import org.knapweedbank.wire.TaskDigest;
import org.knapweedbank.wire.TaskHeld;
import org.knapweedbank.wire.TaskReport;
import org.knapweedbank.wire.TaskReportState;
import org.knapweedbank.wire.UsageSample;

/** Test fixture: a partition controller with a manual clock, a fake journal and fake agents. */
final class ControlFixture {
    static final Resources TASK_RESOURCES = new Resources(1_000, 1_024, 0);
    static final Resources VM_CAPACITY = new Resources(4_000, 4_096, 0);

    private final ManualClock mClock = new ManualClock();
    private final Map<String, FakeAgentControlConnection> mAgents = new LinkedHashMap<>();
    private final Map<String, Long> mHeartbeatSeqs = new LinkedHashMap<>();
    private FakeJournal mJournal = new FakeJournal();
    private PartitionController mController;
    private SiteConfiguration mConfiguration = configuration(1, Set.of());
    private boolean mStoreReachable = true;
    private long mEpoch;

    ControlFixture() {
        takeOver();
    }

    static SiteConfiguration configuration(long generation, Set<String> removed) {
        List<DataCentreSettings> dataCentres =
                List.of("a", "b").stream()
                        .map(
                                name ->
                                        new DataCentreSettings(
                                                new DataCentreId(name),
                                                "region",
                                                removed.contains(name)))
                        .toList();
        return new SiteConfiguration(
                generation,
                "test",
                1,
                dataCentres,
                List.of(new ServiceSettings("web", 50, 1_000, 100, Set.of("GET"), false)),
                List.of(new TeamSettings("team", new Resources(64_000, 65_536, 8), 1, 0)),
                List.of());
    }

    static JobSpec job(String id, JobKind kind, int tasks) {
        return new JobSpec(
                new JobId(id),
                "team",
                kind,
                "web",
                tasks,
                TASK_RESOURCES,
                0,
                false,
                0,
                3,
                List.of("run"));
    }

    /**
     * Replaces the controller by one with the next epoch that recovers from the committed records
     * only.
     */
    void takeOver() {
        List<JournalRecord> committed = mJournal.committed();
        mJournal = new FakeJournal();
        committed.forEach(record -> mJournal.append(record, () -> {}));
        mJournal.commitAll();
        mEpoch++;
        mController =
                new PartitionController(
                        0,
                        mEpoch,
                        ControlSettings.defaults(),
                        mClock,
                        new PartitionScheduler(
                                SchedulerSettings.defaults(),
                                mClock,
                                RandomSource.SPLIT_MIX_64.create(7L)),
                        mJournal,
                        new ControlCounters(new MetricRegistry()));
        mController.recover(committed);
        mController.configure(mConfiguration);
        recordConfigurationConfirmation();
    }

    PartitionController controller() {
        return mController;
    }

    FakeJournal journal() {
        return mJournal;
    }

    FakeAgentControlConnection agent(String vm) {
        return mAgents.get(vm);
    }

    long epoch() {
        return mEpoch;
    }

    void setStoreReachable(boolean reachable) {
        mStoreReachable = reachable;
        recordConfigurationConfirmation();
    }

    void takeOutOfService(String... dataCentres) {
        mConfiguration = configuration(mConfiguration.generation() + 1, Set.of(dataCentres));
        mController.configure(mConfiguration);
        mJournal.commitAll();
    }

    void recordConfigurationConfirmation() {
        if (mStoreReachable) {
            mController.recordConfigurationConfirmation(mClock.monotonicNanos());
        }
    }

    FakeAgentControlConnection connect(String vm, String dataCentre, TaskHeld... held) {
        FakeAgentControlConnection agent = new FakeAgentControlConnection(vm, dataCentre);
        mAgents.put(vm, agent);
        mHeartbeatSeqs.put(vm, 0L);
        SessionOpen open =
                new SessionOpen(
                        new VmId(vm),
                        "rack-" + vm,
                        "region",
                        VM_CAPACITY,
                        "",
                        1,
                        List.of(held),
                        "worker:1");
        mController.open(agent, open);
        heartbeat(vm, held);
        mJournal.commitAll();
        return agent;
    }

    void disconnect(String vm) {
        mController.closed(mAgents.get(vm));
    }

    void heartbeat(String vm, TaskHeld... held) {
        long seq = mHeartbeatSeqs.merge(vm, 1L, Long::sum);
        long digest = TaskDigest.of(List.of(held));
        mController.heartbeat(
                new VmId(vm), new Heartbeat(seq, mEpoch, digest, 1, List.of(), List.of()));
    }

    /** Sends a heartbeat with the usage of a service task and the p99 latency of its service. */
    void heartbeatWithLatency(String vm, StartTask service, long p99Micros) {
        long seq = mHeartbeatSeqs.merge(vm, 1L, Long::sum);
        UsageSample usage =
                new UsageSample(service.task(), service.attempt(), service.resources(), 0, 0);
        ServiceLatency latency = new ServiceLatency("web", p99Micros, 100);
        mController.heartbeat(
                new VmId(vm),
                new Heartbeat(seq, mEpoch, 0, 1, List.of(), List.of(usage), List.of(latency)));
    }

    /**
     * Advances the clock in steps of one second. In each step the given VMs send a heartbeat, the
     * controller runs and all journal records are committed.
     */
    void advance(Duration duration, String... heartbeating) {
        for (long second = 0; second < duration.toSeconds(); second++) {
            mClock.advance(Duration.ofSeconds(1));
            recordConfigurationConfirmation();
            for (String vm : heartbeating) {
                heartbeat(vm);
            }
            mController.schedule();
            mController.tick();
            mJournal.commitAll();
        }
    }

    void submit(JobSpec spec) {
        mController.submit(spec, false, result -> {});
        mJournal.commitAll();
        schedule();
    }

    void schedule() {
        mController.schedule();
        mJournal.commitAll();
    }

    void report(String vm, StartTask start, TaskReportState state) {
        report(vm, start, state, "");
    }

    void report(String vm, StartTask start, TaskReportState state, String detail) {
        mController.report(
                new VmId(vm), new TaskReport(mEpoch, start.task(), start.attempt(), state, detail));
    }

    /** Returns all starts sent so far for a task, over all agents. */
    List<StartTask> starts(String task) {
        List<StartTask> starts = new ArrayList<>();
        mAgents.values().forEach(agent -> starts.addAll(agent.sent(StartTask.class)));
        return starts.stream().filter(start -> start.task().equals(TaskId.parse(task))).toList();
    }

    static TaskHeld held(StartTask start, TaskReportState state) {
        return new TaskHeld(start.task(), start.attempt(), start.resources(), state, "");
    }
}
