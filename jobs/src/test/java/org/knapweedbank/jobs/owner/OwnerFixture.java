package org.knapweedbank.jobs.owner;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedbank.jobs.AgentReport;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.EndedTask;
import org.knapweedbank.jobs.JobQueue;
import org.knapweedbank.jobs.JobSubmission;
import org.knapweedbank.jobs.PlacementRule;
import org.knapweedbank.jobs.QueueKey;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.Timetable;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.time.ManualClock;

/** An owner with a manual clock, a store that is written on demand, and VMs that do as told. */
final class OwnerFixture implements OwnerOutput {
    static final QueueKey QUEUE = new QueueKey("example", "/q/");
    static final DataCentreId DATA_CENTRE = new DataCentreId("dc");
    static final OwnerSettings SETTINGS =
            new OwnerSettings(
                    Duration.ofSeconds(6),
                    Duration.ofSeconds(6),
                    Duration.ofMillis(1_500),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(4),
                    Duration.ofSeconds(150),
                    1.5);

    final ManualClock mClock;
    final JobOwner mOwner;
    final List<Order> mStarts = new ArrayList<>();
    final List<Order> mStops = new ArrayList<>();
    final List<RunProfile> mProfiles = new ArrayList<>();
    final List<LogLine> mLog = new ArrayList<>();
    final Map<DaemonId, Long> mAcknowledgedEnds = new HashMap<>();
    private final Map<String, Long> mEndCounts = new HashMap<>();
    private final Map<JobId, byte[]> mRecords = new HashMap<>();
    private final long mTerm;
    private byte[] mListRecord = {};
    private long mRevision = 100;

    /** An order that went to an agent. */
    record Order(DaemonId mVm, TaskName mTask, long mRunNumber, String mCheckpoint) {}

    /** A line of the decision log. */
    record LogLine(String mEvent, Object mSubject, Map<Object, Object> mFields) {}

    OwnerFixture() {
        this(new ManualClock(Instant.ofEpochSecond(1_000)), 1, new VmList());
    }

    OwnerFixture(ManualClock clock, long term, VmList list) {
        mClock = clock;
        mTerm = term;
        mOwner = new JobOwner(SETTINGS, clock, this, this::record, term, list);
        mOwner.configure(List.of(queue(2)));
        mOwner.viewIsCurrent();
    }

    /** The owner of the next term, with what this one has stored. */
    OwnerFixture createSuccessor() throws IOException {
        VmList list = VmList.decode(mListRecord, mOwner.vmList().revision());
        OwnerFixture next = new OwnerFixture(mClock, mTerm + 1, list);
        next.mRevision = mRevision;
        next.mListRecord = mListRecord;
        next.mRecords.putAll(mRecords);
        for (byte[] record : mRecords.values()) {
            next.mOwner.load(record, mRevision);
        }
        return next;
    }

    static JobQueue queue(int maxAttempts) {
        return new JobQueue(
                QUEUE, "svc", 0, maxAttempts, 2, Duration.ofSeconds(1), Duration.ofSeconds(3));
    }

    static StepSpec step(int count, long cpu, StepTraits traits, Integer... after) {
        return new StepSpec(
                count,
                new Resources(cpu, 100, 0),
                Duration.ofSeconds(1),
                List.of(after),
                traits,
                PlacementRule.ANYWHERE,
                "",
                Duration.ZERO,
                -1);
    }

    /** A step of standing tasks that serve users. */
    static StepSpec servingStep(int count, long cpu, int budget) {
        return new StepSpec(
                count,
                new Resources(cpu, 100, 0),
                Duration.ZERO,
                List.of(),
                new StepTraits(false, false, false, true, false),
                PlacementRule.ANYWHERE,
                "web",
                Duration.ofMillis(50),
                budget);
    }

    Job submit(String id, StepSpec... steps) {
        JobSubmission submission =
                new JobSubmission(new JobId(id), "text", List.of(steps), Timetable.ONCE);
        SubmitResult result = mOwner.submit(submission, QUEUE);
        return ((SubmitResult.Known) result).job();
    }

    private void record(String event, Object subject, Object... fields) {
        Map<Object, Object> map = new HashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            map.put(fields[i], fields[i + 1]);
        }
        mLog.add(new LogLine(event, subject, map));
    }

    List<LogLine> logLines(String event) {
        return mLog.stream().filter(line -> line.mEvent().equals(event)).toList();
    }

    /** Writes all that is dirty, then schedules. */
    void storeAndSchedule() {
        for (Job job : mOwner.unwritten(100)) {
            mRecords.put(job.id(), JobRecords.encode(job));
            mOwner.written(job, job.version(), ++mRevision);
        }
        VmList list = mOwner.vmList();
        mListRecord = list.encode();
        mOwner.listWritten(list.version(), ++mRevision);
        mOwner.confirmed();
        mOwner.acknowledge();
        mOwner.schedule();
    }

    static WorkerInfo worker(String vm, long incarnation, long cpu, boolean draining) {
        return new WorkerInfo(
                new WorkerId("w-" + vm, incarnation),
                "svc",
                new Resources(cpu, 100_000, 0),
                List.of("a", "r1"),
                "r1",
                draining);
    }

    void addVm(String vm, long cpu) {
        report(vm, worker(vm, 1, cpu, false), List.of(), List.of(), true);
        storeAndSchedule();
    }

    void report(
            String vm,
            WorkerInfo worker,
            List<RunningTask> running,
            List<EndedTask> ended,
            boolean sameProcess) {
        mOwner.report(
                new DaemonId(vm),
                DATA_CENTRE,
                new AgentReport(Optional.of(worker), true, List.of(), running, ended),
                sameProcess);
        answerAgent(vm);
    }

    void answerAgent(String vm) {
        mOwner.answers(new DaemonId(vm));
    }

    /** Passes time during which agents and store stay in touch. */
    void advanceTime(Duration time, String... vms) {
        mClock.advance(time);
        mOwner.viewIsCurrent();
        mOwner.confirmed();
        for (String vm : vms) {
            answerAgent(vm);
        }
        mOwner.schedule();
    }

    void reportStarted(Order order) {
        mOwner.outcome(order.mVm(), order.mTask(), order.mRunNumber(), StartOutcome.STARTED);
    }

    void reportEnd(Order order, EndKind how, String checkpoint) {
        String vm = order.mVm().value();
        long number = mEndCounts.merge(vm, 1L, Long::sum);
        EndedTask end = new EndedTask(number, order.mTask(), order.mRunNumber(), how, checkpoint);
        mOwner.ended(order.mVm(), worker(vm, 1, 0, false).id(), List.of(end));
        mOwner.schedule();
    }

    Order lastStart() {
        return mStarts.getLast();
    }

    @Override
    public void start(DaemonId agent, StartOrder order) {
        mProfiles.add(order.profile());
        mStarts.add(new Order(agent, order.task(), order.run(), order.checkpoint()));
    }

    @Override
    public void stop(DaemonId agent, TaskName task, long run) {
        mStops.add(new Order(agent, task, run, ""));
    }

    @Override
    public void describe(DaemonId agent, TaskName task, long run, RunProfile profile) {
        mProfiles.add(profile);
    }

    @Override
    public void acknowledgeEnds(DaemonId agent, long number) {
        mAcknowledgedEnds.put(agent, number);
    }
}
