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
final class TaskCellRun {
    static final Resources VM_CAPACITY = new Resources(2_000, 2_048, 0);
    private static final Resources TASK_RESOURCES = new Resources(1_000, 1_024, 0);
    private static final JobId BATCH_JOB = new JobId("batch");
    private static final JobId SERVICE_JOB = new JobId("web");
    private static final Map<String, String> DATA_CENTRE_BY_VM = new LinkedHashMap<>();
    private static final Duration STORE_TICK_INTERVAL = Duration.ofMillis(100);
    private static final Duration TIME_LIMIT = Duration.ofMinutes(25);

    static {
        DATA_CENTRE_BY_VM.put("vm1", "a");
        DATA_CENTRE_BY_VM.put("vm2", "b");
        DATA_CENTRE_BY_VM.put("vm3", "b");
    }

    private final TaskStep mStep;
    private final List<Fault> mFaults;
    private final TaskMutant mMutant;
    private final Simulation mSimulation;
    private final InMemoryStore mStore;
    private final SiteOperator mOperator;
    private final Map<String, SimEntry> mEntries = new LinkedHashMap<>();
    private final Map<String, StoreClient> mStoreClients = new LinkedHashMap<>();
    private final Map<String, SimAgent> mAgents = new LinkedHashMap<>();
    private final Map<String, SimWorker> mWorkers = new LinkedHashMap<>();
    private final Map<String, Clock> mClocks = new LinkedHashMap<>();
    private final Set<String> mCutPaths = new HashSet<>();
    private final TaskInvariantChecker mChecker;
    private Fault mMessageFault = Fault.NONE;
    private String mMessageFaultVm = "";
    private int mMessagesToAffect;
    private boolean mFaultInjected;
    private boolean mScenarioStarted;
    private long mDisturbedUntilNanos;

    TaskCellRun(TaskStep step, List<Fault> faults, long seed, TaskMutant mutant) {
        mStep = step;
        mFaults = faults;
        mMutant = mutant;
        mSimulation = new Simulation(seed * 1_000 + step.ordinal());
        boolean networkCut =
                faults.contains(Fault.NETWORK_CUT) || faults.contains(Fault.NETWORK_CUT_ONE_WAY);
        mChecker = new TaskInvariantChecker(mSimulation, networkCut);
        mStore = new InMemoryStore(mSimulation.clock(1, 0));
        mOperator = new SiteOperator(mSimulation, mStore.client());
        mSimulation.schedule(STORE_TICK_INTERVAL, this::tickStore);
        boolean clocksDrift = faults.contains(Fault.CLOCK_DRIFT);
        boolean entriesRunFast = mSimulation.random().nextBoolean();
        for (String name : List.of("entry1", "entry2")) {
            mClocks.put(name, clock(clocksDrift, entriesRunFast));
            mStoreClients.put(name, mStore.client());
        }
        DATA_CENTRE_BY_VM
                .keySet()
                .forEach(vm -> mClocks.put(vm, clock(clocksDrift, !entriesRunFast)));
        mOperator.writeFirstGeneration();
        startEntry("entry1", Duration.ZERO);
        startEntry("entry2", Duration.ofSeconds(3));
        for (String vm : DATA_CENTRE_BY_VM.keySet()) {
            mWorkers.put(vm, new SimWorker(this, vm, mClocks.get(vm), VM_CAPACITY));
            startAgent(vm);
        }
        boolean failing = step.scenario() == TaskStep.Scenario.FAILING;
        mWorkers.values().forEach(worker -> worker.setFailing(failing));
        if (hasStoreCut()) {
            mWorkers.values().forEach(worker -> worker.setTaskDuration(Duration.ofSeconds(300)));
        }
    }

    private boolean hasStoreCut() {
        return mStep.scenario() == TaskStep.Scenario.STORE_CUT
                || mStep.scenario() == TaskStep.Scenario.STORE_CUT_MOVED;
    }

    private Clock clock(boolean drifts, boolean fast) {
        double rate = !drifts ? 1 : fast ? 1.0049 : 0.9951;
        return mSimulation.clock(rate, mSimulation.random().nextInt(1_000_000) * 1_000_000L);
    }

    private void tickStore() {
        mStore.tick();
        mSimulation.schedule(STORE_TICK_INTERVAL, this::tickStore);
    }

    private void startEntry(String name, Duration delay) {
        mEntries.put(
                name, new SimEntry(this, name, mClocks.get(name), mStoreClients.get(name), delay));
    }

    private void startAgent(String vm) {
        mAgents.put(
                vm,
                new SimAgent(
                        this, vm, DATA_CENTRE_BY_VM.get(vm), mClocks.get(vm), mWorkers.get(vm)));
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
        return task.job().equals(SERVICE_JOB);
    }

    private void takeOutDataCentre(String dataCentre) {
        mOperator.takeOutOfService(dataCentre);
        extendDisturbance(Duration.ofSeconds(30));
        reachStep(TaskStep.DATA_CENTRE_OUT, vmIn(dataCentre));
        mSimulation.schedule(
                Duration.ofSeconds(30),
                () -> {
                    mOperator.returnToService(dataCentre);
                    reachStep(TaskStep.DATA_CENTRE_IN, vmIn(dataCentre));
                });
    }

    private static String vmIn(String dataCentre) {
        return dataCentre.equals("a") ? "vm1" : "vm2";
    }

    // What happens, as seen by the fakes

    /** An event of the cell; the fault is put at the first one that is the cell's step. */
    void reachStep(TaskStep step, String vm) {
        if (step == mStep && !mFaultInjected) {
            mFaultInjected = true;
            for (Fault fault : mFaults) {
                mSimulation.trace("FAULT", fault + " at " + step + " (" + vm + ")");
                injectFault(fault, vm);
            }
        }
    }

    void recordStart(Execution execution, Resources usedResources, Resources capacity) {
        mSimulation.trace(execution.mVm, execution + " from '" + execution.mStartCheckpoint + "'");
        mChecker.recordStart(execution, usedResources, capacity);
        Duration outOfService =
                mOperator.outOfServiceDuration(DATA_CENTRE_BY_VM.get(execution.mVm));
        if (outOfService.compareTo(Duration.ofSeconds(3)) > 0) {
            mSimulation.recordViolation(
                    4, execution + " starts after its data centre was taken out");
        }
        if (isService(execution.mTask)) {
            return;
        }
        boolean resumed = !execution.mStartCheckpoint.isEmpty();
        reachStep(resumed ? TaskStep.RESUMING : TaskStep.STARTING, execution.mVm);
    }

    void handleReportSent(TaskReport report, String vm) {
        if (isService(report.task())) {
            return;
        }
        switch (report.state()) {
            case RUNNING -> {
                reachStep(TaskStep.RUNNING, vm);
                beginScenario(vm);
            }
            case FINISHED -> reachStep(TaskStep.FINISH_REPORTED, vm);
            case FAILED -> reachStep(TaskStep.FAILURE_REPORTED, vm);
            case CHECKPOINTED -> reachStep(TaskStep.CHECKPOINT_REPORTED, vm);
            case STOPPED -> reachStep(TaskStep.CANCEL_REPORTED, vm);
            default -> {}
        }
    }

    void handleMessageSent(Message message, String vm) {
        switch (message) {
            case HeartbeatAck ack -> mChecker.recordContact(vm);
            case SessionGrant grant -> mChecker.recordContact(vm);
            case StartTask start when !isService(start.task()) -> {
                boolean resume = !start.checkpoint().isEmpty();
                reachStep(resume ? TaskStep.RESUME_SENT : TaskStep.START_SENT, vm);
                beginDrainAtStart(vm);
            }
            case CheckpointTask checkpoint -> reachStep(TaskStep.CHECKPOINT_SENT, vm);
            case StopTask stop when !isService(stop.task()) -> reachStep(TaskStep.CANCEL_SENT, vm);
            default -> {}
        }
    }

    void handleAppend(JournalRecord record) {
        switch (record) {
            case JournalRecord.JobSubmitted submitted -> reachStep(TaskStep.SUBMITTED, "vm1");
            case JournalRecord.TaskPlaced placed -> reachStep(TaskStep.PLACED, placed.vm().value());
            default -> {}
        }
    }

    void handleCommit(JournalRecord record) {
        mChecker.recordCommit(record);
        if (record instanceof JournalRecord.TaskEnded) {
            reachStep(TaskStep.FINISH_COMMITTED, "vm1");
        }
    }

    void handleAcquisition(SimEntry entry, long epoch) {
        if (epoch > 1) {
            reachStep(TaskStep.TAKEOVER, "vm1");
            reachStep(TaskStep.FORMER_OWNER_CUT_OFF, "vm1");
            if (epoch == 2 && mStep.scenario() == TaskStep.Scenario.STORE_CUT_MOVED) {
                mAgents.values().forEach(agent -> agent.link().closeByEntry());
            }
        }
    }

    void handleSessionGranted(SimEntry entry, String vm) {
        if (entry.epoch() > 1) {
            reachStep(TaskStep.SESSION_OF_NEW_OWNER, vm);
            reachStep(TaskStep.SESSION_AFTER_CUT_OFF, vm);
            if (mChecker.runsBatchTask(vm)) {
                reachStep(TaskStep.SESSION_AFTER_MOVE, vm);
            }
            reachStep(TaskStep.SESSION_AFTER_STOP, vm);
        }
    }

    // Scenarios

    private void beginDrainAtStart(String vm) {
        if (!mScenarioStarted && mStep.scenario() == TaskStep.Scenario.DRAIN_AT_START) {
            mScenarioStarted = true;
            mSimulation.schedule(
                    Duration.ofMillis(mSimulation.random().nextInt(12)),
                    () -> takeOutDataCentre(DATA_CENTRE_BY_VM.get(vm)));
            reachStep(TaskStep.OUT_DURING_START, vm);
        }
    }

    private void beginScenario(String vm) {
        if (mScenarioStarted) {
            return;
        }
        switch (mStep.scenario()) {
            case DRAIN -> scheduleScenario(() -> takeOutDataCentre(DATA_CENTRE_BY_VM.get(vm)));
            case CANCEL -> scheduleScenario(() -> cancelBatchJob(vm));
            case TAKEOVER -> scheduleScenario(() -> killAndRestart("entry1"));
            case STOP ->
                    scheduleScenario(
                            () -> {
                                mEntries.get("entry1").stop();
                                reachStep(TaskStep.OWNER_STOPPING, vm);
                            });
            case STORE_CUT, STORE_CUT_MOVED ->
                    scheduleScenario(
                            () -> {
                                mSimulation.trace("FAULT", "entry1 is cut off from the store");
                                mStoreClients.get("entry1").faults().down(true);
                                extendDisturbance(Duration.ofSeconds(260));
                                mSimulation.schedule(
                                        Duration.ofSeconds(260),
                                        () -> mStoreClients.get("entry1").faults().down(false));
                            });
            default -> {}
        }
    }

    private void scheduleScenario(Runnable action) {
        mScenarioStarted = true;
        mSimulation.schedule(Duration.ofSeconds(3), action);
    }

    private void cancelBatchJob(String vm) {
        mSimulation.trace("operator", "cancels the batch job");
        sendCancelUntilCommitted();
        reachStep(TaskStep.CANCEL_REQUESTED, vm);
    }

    /** Repeats the request until an owner has confirmed it, as an operator would. */
    private void sendCancelUntilCommitted() {
        currentOwner()
                .ifPresent(
                        owner ->
                                owner.process()
                                        .execute(
                                                () -> {
                                                    if (owner.ownsPartition()) {
                                                        owner.controller()
                                                                .cancel(BATCH_JOB, result -> {});
                                                    }
                                                }));
        mSimulation.schedule(
                Duration.ofSeconds(2),
                () -> {
                    if (!mChecker.isCancelled()) {
                        sendCancelUntilCommitted();
                    }
                });
    }

    private Optional<SimEntry> currentOwner() {
        return mEntries.values().stream().filter(SimEntry::ownsPartition).reduce((a, b) -> b);
    }

    private void submit(JobSpec spec) {
        currentOwner()
                .ifPresent(
                        owner -> {
                            boolean known = owner.controller().detail(spec.id()).isPresent();
                            if (!known) {
                                owner.process()
                                        .execute(
                                                () -> {
                                                    if (owner.ownsPartition()) {
                                                        owner.controller()
                                                                .submit(spec, false, result -> {});
                                                    }
                                                });
                            }
                        });
    }

    private static JobSpec jobSpec(JobId id, JobKind kind, int tasks) {
        return new JobSpec(
                id, "team", kind, "web", tasks, TASK_RESOURCES, 0, false, 0, 3, List.of("run"));
    }

    // Faults

    private void extendDisturbance(Duration duration) {
        mDisturbedUntilNanos =
                Math.max(mDisturbedUntilNanos, mSimulation.nowNanos() + duration.toNanos());
    }

    private void injectFault(Fault fault, String vm) {
        boolean atOwner = mSimulation.random().nextBoolean();
        SimEntry owner = currentOwner().orElse(mEntries.get("entry1"));
        Duration outage = Duration.ofSeconds(pickRandom(2, 8, 40, 70, 70, 200));
        extendDisturbance(outage);
        switch (fault) {
            case NONE, CLOCK_DRIFT -> {}
            case PROCESS_KILLED -> killAndRestart(atOwner ? owner.name() : vm);
            case PROCESS_PAUSED ->
                    (atOwner ? owner.process() : mAgents.get(vm).process()).pause(outage);
            case STORE_DOWN -> applyToStoreClients(outage, client -> client.faults().down(true));
            case STORE_SLOW -> {
                Duration delay = Duration.ofMillis(pickRandom(300, 1_500, 4_000));
                applyToStoreClients(outage, client -> client.faults().slow(delay));
            }
            case ANSWER_LOST -> {
                if (atOwner) {
                    AnswerLoss loss = AnswerLoss.values()[mSimulation.random().nextInt(2)];
                    mStoreClients
                            .get(owner.name())
                            .faults()
                            .loseAnswers(StoreCallKind.WRITE, loss, pickRandom(1, 2, 3));
                } else if (mSimulation.random().nextBoolean()) {
                    mWorkers.get(vm).loseAnswers(pickRandom(1, 3, 8));
                } else {
                    mWorkers.get(vm).loseCalls(pickRandom(1, 3, 8));
                }
            }
            case MESSAGE_LOST, MESSAGE_DOUBLED, MESSAGE_LATE, MESSAGES_REORDERED -> {
                mMessageFault = fault;
                mMessageFaultVm = vm;
                mMessagesToAffect = pickRandom(1, 2, 5, 30);
            }
            case NETWORK_CUT_ONE_WAY ->
                    cutPaths(outage, vm, List.of((atOwner ? ">" : "<") + owner.name()));
            case NETWORK_CUT -> {
                List<String> ownerPaths = List.of(">" + owner.name(), "<" + owner.name());
                List<String> allPaths = List.of(">entry1", "<entry1", ">entry2", "<entry2");
                cutPaths(outage, vm, atOwner ? ownerPaths : allPaths);
            }
            case OPERATORS_RACE -> {
                mOperator.raceTwoChanges();
                extendDisturbance(Duration.ofSeconds(10));
            }
            case VM_GONE -> {
                mWorkers.get(vm).removeVm();
                mChecker.recordVmGone(vm);
                mAgents.get(vm).kill();
            }
            case WORKER_FAILS_EVERYTHING -> {
                mWorkers.get(vm).setFailing(true);
                mSimulation.schedule(outage, () -> mWorkers.get(vm).setFailing(false));
            }
            case CANCELLATION -> cancelBatchJob(vm);
        }
    }

    private int pickRandom(int... values) {
        return values[mSimulation.random().nextInt(values.length)];
    }

    private void applyToStoreClients(
            Duration outage, java.util.function.Consumer<StoreClient> fault) {
        mStoreClients.values().forEach(fault);
        mSimulation.schedule(
                outage, () -> mStoreClients.values().forEach(client -> client.faults().clear()));
    }

    private void cutPaths(Duration outage, String vm, List<String> paths) {
        List<String> vmPaths = paths.stream().map(path -> vm + path).toList();
        mSimulation.trace("FAULT", "cut " + vmPaths + " for " + outage);
        mCutPaths.addAll(vmPaths);
        mSimulation.schedule(outage, () -> mCutPaths.removeAll(vmPaths));
    }

    private void killAndRestart(String name) {
        Duration restartDelay = Duration.ofSeconds(pickRandom(1, 10, 40));
        extendDisturbance(restartDelay);
        if (name.startsWith("entry")) {
            mEntries.get(name).kill();
            startEntry(name, restartDelay.plusSeconds(1));
        } else {
            mAgents.get(name).kill();
            mSimulation.schedule(
                    restartDelay,
                    () -> {
                        if (!mWorkers.get(name).isGone()) {
                            startAgent(name);
                        }
                    });
        }
    }

    boolean isPathCut(String vm, String entry, boolean toEntry) {
        return mCutPaths.contains(vm + (toEntry ? ">" : "<") + entry);
    }

    /** The list of a worker as an entry reads it. */
    Uni<WorkerResult<List<TaskStatus>>> workerList(String entry, String vm) {
        return isPathCut(vm, entry, true) || isPathCut(vm, entry, false)
                ? Uni.createFrom().item(new WorkerResult.Unavailable<>("network cut"))
                : mWorkers.get(vm).list();
    }

    Fault nextMessageFault(String vm) {
        if (mMessagesToAffect == 0 || !vm.equals(mMessageFaultVm)) {
            return Fault.NONE;
        }
        mMessagesToAffect--;
        return mMessageFault;
    }

    // Run

    /** Runs the cell to its end and checks what the workers have executed. */
    CellOutcome run() {
        mSimulation.runFor(Duration.ofSeconds(4));
        submit(jobSpec(SERVICE_JOB, JobKind.SERVICE, 1));
        submit(jobSpec(BATCH_JOB, JobKind.BATCH, 3));
        mDisturbedUntilNanos = mSimulation.nowNanos();
        boolean settled = false;
        while (!settled && mSimulation.nowNanos() < TIME_LIMIT.toNanos()) {
            mSimulation.runFor(Duration.ofSeconds(1));
            if (mSimulation.nowNanos() > mDisturbedUntilNanos) {
                // An operator repeats a submission that a killed owner had not confirmed.
                submit(jobSpec(SERVICE_JOB, JobKind.SERVICE, 1));
                submit(jobSpec(BATCH_JOB, JobKind.BATCH, 3));
            }
            settled = mSimulation.nowNanos() > mDisturbedUntilNanos && hasSettled();
        }
        mSimulation.runFor(Duration.ofSeconds(5));
        if (!settled) {
            mSimulation.recordViolation(3, "work is lost or stuck: " + summaries());
        }
        mChecker.checkFinishedTasks();
        boolean plannedStop = mStep.scenario() == TaskStep.Scenario.STOP;
        if (plannedStop && mFaults.equals(List.of(Fault.NONE))) {
            mChecker.checkNoTaskRestarted();
        }
        return new CellOutcome(mFaultInjected, mSimulation);
    }

    private String summaries() {
        return currentOwner()
                .map(owner -> owner.controller().summaries().toString())
                .orElse("no owner");
    }

    private boolean hasSettled() {
        return currentOwner().filter(this::hasSettled).isPresent();
    }

    private boolean hasSettled(SimEntry owner) {
        Map<JobId, JobSummary> jobs =
                owner.controller().summaries().stream()
                        .collect(Collectors.toMap(JobSummary::id, summary -> summary));
        JobSummary batch = jobs.get(BATCH_JOB);
        JobSummary service = jobs.get(SERVICE_JOB);
        if (batch == null || service == null) {
            return false;
        }
        boolean ended = Arrays.asList("finished", "failed", "cancelled").contains(batch.state());
        boolean failing = mStep.scenario() == TaskStep.Scenario.FAILING;
        return ended && (failing || service.running() >= 1 || service.state().equals("failed"));
    }
}
