package org.knapweedbank.faults.task;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedbank.control.JobSummary;
import org.knapweedbank.control.JournalRecord;
import org.knapweedbank.faults.CellOutcome;
import org.knapweedbank.faults.Fault;
import org.knapweedbank.faults.Simulation;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.standin.AnswerLoss;
import org.knapweedbank.standin.InMemoryStore;
import org.knapweedbank.standin.StoreCallKind;
import org.knapweedbank.standin.StoreClient;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.CheckpointTask;
import org.knapweedbank.wire.HeartbeatAck;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.SessionGrant;
import org.knapweedbank.wire.StartTask;
import org.knapweedbank.wire.StopTask;
import org.knapweedbank.wire.TaskReport;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.WorkerResult;

/** One cell of the task domain: two entries, three VMs in two data centres, a store, a fault. */
final class TaskWorld {
    static final Resources VM = new Resources(2_000, 2_048, 0);
    private static final Resources TASK = new Resources(1_000, 1_024, 0);
    private static final JobId BATCH = new JobId("batch");
    private static final JobId SERVICE = new JobId("web");
    private static final Map<String, String> VMS = new LinkedHashMap<>();
    private static final Duration STORE_TICK = Duration.ofMillis(100);
    private static final Duration LIMIT = Duration.ofMinutes(25);

    static {
        VMS.put("vm1", "a");
        VMS.put("vm2", "b");
        VMS.put("vm3", "b");
    }

    private final TaskStep mStep;
    private final List<Fault> mFaults;
    private final TaskMutant mMutant;
    private final Simulation mSimulation;
    private final InMemoryStore mStore;
    private final SiteOperator mOperator;
    private final Map<String, SimEntry> mEntries = new LinkedHashMap<>();
    private final Map<String, StoreClient> mClients = new LinkedHashMap<>();
    private final Map<String, SimAgent> mAgents = new LinkedHashMap<>();
    private final Map<String, SimWorker> mWorkers = new LinkedHashMap<>();
    private final Map<String, Clock> mClocks = new LinkedHashMap<>();
    private final Set<String> mCuts = new HashSet<>();
    private final TaskRecord mRecord;
    private Fault mMessageFault = Fault.NONE;
    private String mMessageVm = "";
    private int mMessages;
    private boolean mFired;
    private boolean mScenarioStarted;
    private long mQuietNanos;

    TaskWorld(TaskStep step, List<Fault> faults, long seed, TaskMutant mutant) {
        mStep = step;
        mFaults = faults;
        mMutant = mutant;
        mSimulation = new Simulation(seed * 1_000 + step.ordinal());
        boolean cut =
                faults.contains(Fault.NETWORK_CUT) || faults.contains(Fault.NETWORK_CUT_ONE_WAY);
        mRecord = new TaskRecord(mSimulation, cut);
        mStore = new InMemoryStore(mSimulation.clock(1, 0));
        mOperator = new SiteOperator(mSimulation, mStore.client());
        mSimulation.after(STORE_TICK, this::tickStore);
        boolean drift = faults.contains(Fault.CLOCK_DRIFT);
        boolean fastOwner = mSimulation.random().nextBoolean();
        for (String name : List.of("entry1", "entry2")) {
            mClocks.put(name, clock(drift, fastOwner));
            mClients.put(name, mStore.client());
        }
        VMS.keySet().forEach(vm -> mClocks.put(vm, clock(drift, !fastOwner)));
        mOperator.begin();
        startEntry("entry1", Duration.ZERO);
        startEntry("entry2", Duration.ofSeconds(3));
        for (String vm : VMS.keySet()) {
            mWorkers.put(vm, new SimWorker(this, vm, mClocks.get(vm), VM));
            startAgent(vm);
        }
        boolean failing = step.scenario() == TaskStep.Scenario.FAILING;
        mWorkers.values().forEach(worker -> worker.failing(failing));
        if (storeCut()) {
            mWorkers.values().forEach(worker -> worker.work(Duration.ofSeconds(300)));
        }
    }

    private boolean storeCut() {
        return mStep.scenario() == TaskStep.Scenario.STORE_CUT
                || mStep.scenario() == TaskStep.Scenario.STORE_CUT_MOVED;
    }

    private Clock clock(boolean drift, boolean fast) {
        double rate = !drift ? 1 : fast ? 1.0049 : 0.9951;
        return mSimulation.clock(rate, mSimulation.random().nextInt(1_000_000) * 1_000_000L);
    }

    private void tickStore() {
        mStore.tick();
        mSimulation.after(STORE_TICK, this::tickStore);
    }

    private void startEntry(String name, Duration delay) {
        mEntries.put(name, new SimEntry(this, name, mClocks.get(name), mClients.get(name), delay));
    }

    private void startAgent(String vm) {
        mAgents.put(vm, new SimAgent(this, vm, VMS.get(vm), mClocks.get(vm), mWorkers.get(vm)));
    }

    Simulation simulation() {
        return mSimulation;
    }

    TaskMutant mutant() {
        return mMutant;
    }

    SimEntry entry(String name) {
        return mEntries.get(name);
    }

    static boolean isService(TaskId task) {
        return task.job().equals(SERVICE);
    }

    private void takeOut(String dataCentre) {
        mOperator.takeOut(dataCentre);
        quietAfter(Duration.ofSeconds(30));
        step(TaskStep.DATA_CENTRE_OUT, vmIn(dataCentre));
        mSimulation.after(
                Duration.ofSeconds(30),
                () -> {
                    mOperator.bringBack(dataCentre);
                    step(TaskStep.DATA_CENTRE_IN, vmIn(dataCentre));
                });
    }

    private static String vmIn(String dataCentre) {
        return dataCentre.equals("a") ? "vm1" : "vm2";
    }

    // What happens, as seen by the fakes

    /** An event of the cell; the fault is put at the first one that is the cell's step. */
    void step(TaskStep step, String vm) {
        if (step == mStep && !mFired) {
            mFired = true;
            for (Fault fault : mFaults) {
                mSimulation.trace("FAULT", fault + " at " + step + " (" + vm + ")");
                apply(fault, vm);
            }
        }
    }

    void started(Execution execution, Resources used, Resources capacity) {
        mSimulation.trace(execution.mVm, execution + " from '" + execution.mFromCheckpoint + "'");
        mRecord.started(execution, used, capacity);
        Duration out = mOperator.outFor(VMS.get(execution.mVm));
        if (out.compareTo(Duration.ofSeconds(3)) > 0) {
            mSimulation.violate(4, execution + " starts after its data centre was taken out");
        }
        if (isService(execution.mTask)) {
            return;
        }
        boolean resumed = !execution.mFromCheckpoint.isEmpty();
        step(resumed ? TaskStep.RESUMING : TaskStep.STARTING, execution.mVm);
    }

    void reported(TaskReport report, String vm) {
        if (isService(report.task())) {
            return;
        }
        switch (report.state()) {
            case RUNNING -> {
                step(TaskStep.RUNNING, vm);
                running(vm);
            }
            case FINISHED -> step(TaskStep.FINISH_REPORTED, vm);
            case FAILED -> step(TaskStep.FAILURE_REPORTED, vm);
            case CHECKPOINTED -> step(TaskStep.CHECKPOINT_REPORTED, vm);
            case STOPPED -> step(TaskStep.CANCEL_REPORTED, vm);
            default -> {}
        }
    }

    void commanded(Message message, String vm) {
        switch (message) {
            case HeartbeatAck ack -> mRecord.heard(vm);
            case SessionGrant grant -> mRecord.heard(vm);
            case StartTask start when !isService(start.task()) -> {
                boolean resume = !start.checkpoint().isEmpty();
                step(resume ? TaskStep.RESUME_SENT : TaskStep.START_SENT, vm);
                startSent(vm);
            }
            case CheckpointTask checkpoint -> step(TaskStep.CHECKPOINT_SENT, vm);
            case StopTask stop when !isService(stop.task()) -> step(TaskStep.CANCEL_SENT, vm);
            default -> {}
        }
    }

    void appended(JournalRecord record) {
        switch (record) {
            case JournalRecord.JobSubmitted submitted -> step(TaskStep.SUBMITTED, "vm1");
            case JournalRecord.TaskPlaced placed -> step(TaskStep.PLACED, placed.vm().value());
            default -> {}
        }
    }

    void committed(JournalRecord record) {
        mRecord.committed(record);
        if (record instanceof JournalRecord.TaskEnded) {
            step(TaskStep.FINISH_COMMITTED, "vm1");
        }
    }

    void owned(SimEntry entry, long epoch) {
        if (epoch > 1) {
            step(TaskStep.TAKEOVER, "vm1");
            step(TaskStep.FORMER_OWNER_CUT_OFF, "vm1");
            if (epoch == 2 && mStep.scenario() == TaskStep.Scenario.STORE_CUT_MOVED) {
                mAgents.values().forEach(agent -> agent.link().brokenByEntry());
            }
        }
    }

    void granted(SimEntry entry, String vm) {
        if (entry.epoch() > 1) {
            step(TaskStep.SESSION_OF_NEW_OWNER, vm);
            step(TaskStep.SESSION_AFTER_CUT_OFF, vm);
            if (mRecord.runsBatch(vm)) {
                step(TaskStep.SESSION_AFTER_MOVE, vm);
            }
            step(TaskStep.SESSION_AFTER_STOP, vm);
        }
    }

    // Scenarios

    private void startSent(String vm) {
        if (!mScenarioStarted && mStep.scenario() == TaskStep.Scenario.DRAIN_AT_START) {
            mScenarioStarted = true;
            mSimulation.after(
                    Duration.ofMillis(mSimulation.random().nextInt(12)),
                    () -> takeOut(VMS.get(vm)));
            step(TaskStep.OUT_DURING_START, vm);
        }
    }

    private void running(String vm) {
        if (mScenarioStarted) {
            return;
        }
        switch (mStep.scenario()) {
            case DRAIN -> later(() -> takeOut(VMS.get(vm)));
            case CANCEL -> later(() -> cancel(vm));
            case TAKEOVER -> later(() -> kill("entry1"));
            case STOP ->
                    later(
                            () -> {
                                mEntries.get("entry1").stop();
                                step(TaskStep.OWNER_STOPPING, vm);
                            });
            case STORE_CUT, STORE_CUT_MOVED ->
                    later(
                            () -> {
                                mSimulation.trace("FAULT", "entry1 is cut off from the store");
                                mClients.get("entry1").faults().down(true);
                                quietAfter(Duration.ofSeconds(260));
                                mSimulation.after(
                                        Duration.ofSeconds(260),
                                        () -> mClients.get("entry1").faults().down(false));
                            });
            default -> {}
        }
    }

    private void later(Runnable action) {
        mScenarioStarted = true;
        mSimulation.after(Duration.ofSeconds(3), action);
    }

    private void cancel(String vm) {
        mSimulation.trace("operator", "cancels the batch job");
        requestCancel();
        step(TaskStep.CANCEL_REQUESTED, vm);
    }

    /** Repeats the request until an owner has confirmed it, as an operator would. */
    private void requestCancel() {
        owner().ifPresent(
                        owner ->
                                owner.process()
                                        .execute(
                                                () -> {
                                                    if (owner.owns()) {
                                                        owner.controller()
                                                                .cancel(BATCH, result -> {});
                                                    }
                                                }));
        mSimulation.after(
                Duration.ofSeconds(2),
                () -> {
                    if (!mRecord.cancelled()) {
                        requestCancel();
                    }
                });
    }

    private Optional<SimEntry> owner() {
        return mEntries.values().stream().filter(SimEntry::owns).reduce((a, b) -> b);
    }

    private void submit(JobSpec spec) {
        owner().ifPresent(
                        owner -> {
                            boolean known = owner.controller().detail(spec.id()).isPresent();
                            if (!known) {
                                owner.process()
                                        .execute(
                                                () -> {
                                                    if (owner.owns()) {
                                                        owner.controller()
                                                                .submit(spec, false, result -> {});
                                                    }
                                                });
                            }
                        });
    }

    private static JobSpec job(JobId id, JobKind kind, int tasks) {
        return new JobSpec(id, "team", kind, "web", tasks, TASK, 0, false, 0, 3, List.of("run"));
    }

    // Faults

    private void quietAfter(Duration duration) {
        mQuietNanos = Math.max(mQuietNanos, mSimulation.now() + duration.toNanos());
    }

    private void apply(Fault fault, String vm) {
        boolean atOwner = mSimulation.random().nextBoolean();
        SimEntry owner = owner().orElse(mEntries.get("entry1"));
        Duration outage = Duration.ofSeconds(pick(2, 8, 40, 70, 70, 200));
        quietAfter(outage);
        switch (fault) {
            case NONE, CLOCK_DRIFT -> {}
            case PROCESS_KILLED -> kill(atOwner ? owner.name() : vm);
            case PROCESS_PAUSED ->
                    (atOwner ? owner.process() : mAgents.get(vm).process()).pause(outage);
            case STORE_DOWN -> forClients(outage, client -> client.faults().down(true));
            case STORE_SLOW -> {
                Duration delay = Duration.ofMillis(pick(300, 1_500, 4_000));
                forClients(outage, client -> client.faults().slow(delay));
            }
            case ANSWER_LOST -> {
                if (atOwner) {
                    AnswerLoss point = AnswerLoss.values()[mSimulation.random().nextInt(2)];
                    mClients.get(owner.name())
                            .faults()
                            .loseAnswers(StoreCallKind.WRITE, point, pick(1, 2, 3));
                } else if (mSimulation.random().nextBoolean()) {
                    mWorkers.get(vm).loseAnswers(pick(1, 3, 8));
                } else {
                    mWorkers.get(vm).loseCalls(pick(1, 3, 8));
                }
            }
            case MESSAGE_LOST, MESSAGE_DOUBLED, MESSAGE_LATE, MESSAGES_REORDERED -> {
                mMessageFault = fault;
                mMessageVm = vm;
                mMessages = pick(1, 2, 5, 30);
            }
            case NETWORK_CUT_ONE_WAY ->
                    cut(outage, vm, List.of((atOwner ? ">" : "<") + owner.name()));
            case NETWORK_CUT -> {
                List<String> both = List.of(">" + owner.name(), "<" + owner.name());
                List<String> all = List.of(">entry1", "<entry1", ">entry2", "<entry2");
                cut(outage, vm, atOwner ? both : all);
            }
            case OPERATORS_RACE -> {
                mOperator.race();
                quietAfter(Duration.ofSeconds(10));
            }
            case VM_GONE -> {
                mWorkers.get(vm).vanish();
                mRecord.gone(vm);
                mAgents.get(vm).kill();
            }
            case WORKER_FAILS_EVERYTHING -> {
                mWorkers.get(vm).failing(true);
                mSimulation.after(outage, () -> mWorkers.get(vm).failing(false));
            }
            case CANCELLATION -> cancel(vm);
        }
    }

    private int pick(int... values) {
        return values[mSimulation.random().nextInt(values.length)];
    }

    private void forClients(Duration outage, java.util.function.Consumer<StoreClient> fault) {
        mClients.values().forEach(fault);
        mSimulation.after(
                outage, () -> mClients.values().forEach(client -> client.faults().clear()));
    }

    private void cut(Duration outage, String vm, List<String> paths) {
        List<String> cuts = paths.stream().map(path -> vm + path).toList();
        mSimulation.trace("FAULT", "cut " + cuts + " for " + outage);
        mCuts.addAll(cuts);
        mSimulation.after(outage, () -> mCuts.removeAll(cuts));
    }

    private void kill(String name) {
        Duration restart = Duration.ofSeconds(pick(1, 10, 40));
        quietAfter(restart);
        if (name.startsWith("entry")) {
            mEntries.get(name).kill();
            startEntry(name, restart.plusSeconds(1));
        } else {
            mAgents.get(name).kill();
            mSimulation.after(
                    restart,
                    () -> {
                        if (!mWorkers.get(name).gone()) {
                            startAgent(name);
                        }
                    });
        }
    }

    boolean isCut(String vm, String entry, boolean toEntry) {
        return mCuts.contains(vm + (toEntry ? ">" : "<") + entry);
    }

    /** The list of a worker as an entry reads it. */
    Uni<WorkerResult<List<TaskStatus>>> workerList(String entry, String vm) {
        return isCut(vm, entry, true) || isCut(vm, entry, false)
                ? Uni.createFrom().item(new WorkerResult.Unavailable<>("network cut"))
                : mWorkers.get(vm).list();
    }

    Fault takeMessageFault(String vm) {
        if (mMessages == 0 || !vm.equals(mMessageVm)) {
            return Fault.NONE;
        }
        mMessages--;
        return mMessageFault;
    }

    // Run

    /** Runs the cell to its end and checks what the workers have executed. */
    CellOutcome run() {
        mSimulation.run(Duration.ofSeconds(4));
        submit(job(SERVICE, JobKind.SERVICE, 1));
        submit(job(BATCH, JobKind.BATCH, 3));
        mQuietNanos = mSimulation.now();
        boolean settled = false;
        while (!settled && mSimulation.now() < LIMIT.toNanos()) {
            mSimulation.run(Duration.ofSeconds(1));
            if (mSimulation.now() > mQuietNanos) {
                // An operator repeats a submission that a killed owner had not confirmed.
                submit(job(SERVICE, JobKind.SERVICE, 1));
                submit(job(BATCH, JobKind.BATCH, 3));
            }
            settled = mSimulation.now() > mQuietNanos && settled();
        }
        mSimulation.run(Duration.ofSeconds(5));
        if (!settled) {
            mSimulation.violate(3, "work is lost or stuck: " + summaries());
        }
        mRecord.check();
        boolean planned = mStep.scenario() == TaskStep.Scenario.STOP;
        if (planned && mFaults.equals(List.of(Fault.NONE))) {
            mRecord.checkNothingRepeated();
        }
        return new CellOutcome(mFired, mSimulation);
    }

    private String summaries() {
        return owner().map(owner -> owner.controller().summaries().toString()).orElse("no owner");
    }

    private boolean settled() {
        return owner().filter(this::settled).isPresent();
    }

    private boolean settled(SimEntry owner) {
        Map<JobId, JobSummary> jobs =
                owner.controller().summaries().stream()
                        .collect(Collectors.toMap(JobSummary::id, summary -> summary));
        JobSummary batch = jobs.get(BATCH);
        JobSummary service = jobs.get(SERVICE);
        if (batch == null || service == null) {
            return false;
        }
        boolean ended = Arrays.asList("finished", "failed", "cancelled").contains(batch.state());
        boolean failing = mStep.scenario() == TaskStep.Scenario.FAILING;
        return ended && (failing || service.running() >= 1 || service.state().equals("failed"));
    }
}
