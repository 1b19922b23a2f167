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

/**
 * Runs one cell of the task domain: two entries, three VMs in two data centres, and a store. One
 * batch job and one service run while the scenario of the step and the faults take place.
 */
final class TaskCellRun {
    /** Capacity of each VM. */
    static final Resources VM_CAPACITY = new Resources(2_000, 2_048, 0);

    /** Resources of each task. */
    private static final Resources TASK_RESOURCES = new Resources(1_000, 1_024, 0);

    private static final JobId BATCH_JOB = new JobId("batch");
    private static final JobId SERVICE_JOB = new JobId("web");

    /** Data centre of each VM. */
    private static final Map<String, String> DATA_CENTRE_BY_VM = new LinkedHashMap<>();

    private static final Duration STORE_TICK_INTERVAL = Duration.ofMillis(100);

    /** Time from the takeover to the submission of a job to the next owner. */
    private static final Duration LATE_SUBMISSION_DELAY = Duration.ofSeconds(3);

    /** Virtual time at which the cell ends, even if jobs have not reached a final state. */
    private static final Duration TIME_LIMIT = Duration.ofMinutes(25);

    static {
        DATA_CENTRE_BY_VM.put("vm1", "a");
        DATA_CENTRE_BY_VM.put("vm2", "b");
        DATA_CENTRE_BY_VM.put("vm3", "b");
    }

    /** Step at which the faults are injected. */
    private final TaskStep mStep;

    private final List<Fault> mFaults;

    /** Defect to run with, or null. */
    private final TaskMutant mMutant;

    private final Simulation mSimulation;
    private final InMemoryStore mStore;
    private final SiteOperator mOperator;
    private final Map<String, SimEntry> mEntries = new LinkedHashMap<>();
    private final Map<String, StoreClient> mStoreClients = new LinkedHashMap<>();
    private final Map<String, SimAgent> mAgents = new LinkedHashMap<>();
    private final Map<String, SimWorker> mWorkers = new LinkedHashMap<>();
    private final Map<String, Clock> mClocks = new LinkedHashMap<>();

    /**
     * Interrupted network paths: the VM's name, {@code >} for messages to the entry or {@code <}
     * for messages from it, and the entry's name.
     */
    private final Set<String> mCutPaths = new HashSet<>();

    private final TaskInvariantChecker mChecker;

    /** Fault that affects the next messages of a VM. */
    private Fault mMessageFault = Fault.NONE;

    private String mMessageFaultVm = "";

    /** Number of messages that the message fault still affects. */
    private int mMessagesToAffect;

    /** Whether the step was reached and the faults have been injected. */
    private boolean mFaultInjected;

    /** Whether the events of the step's scenario have begun. */
    private boolean mScenarioStarted;

    /** Virtual time until which a fault or an operator may disturb the cell. */
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

    /** Returns whether the scenario cuts the owner off from the store. */
    private boolean hasStoreCut() {
        return mStep.scenario() == TaskStep.Scenario.STORE_CUT
                || mStep.scenario() == TaskStep.Scenario.STORE_CUT_MOVED;
    }

    /** Returns a clock with a random offset that, if it drifts, runs 0.49 % fast or slow. */
    private Clock clock(boolean drifts, boolean fast) {
        double rate = !drifts ? 1 : fast ? 1.0049 : 0.9951;
        return mSimulation.clock(rate, mSimulation.random().nextInt(1_000_000) * 1_000_000L);
    }

    /** Advances the leases and delays of the store. */
    private void tickStore() {
        mStore.tick();
        mSimulation.schedule(STORE_TICK_INTERVAL, this::tickStore);
    }

    /** Starts an incarnation of an entry after a delay. */
    private void startEntry(String name, Duration delay) {
        mEntries.put(
                name, new SimEntry(this, name, mClocks.get(name), mStoreClients.get(name), delay));
    }

    /** Starts an incarnation of the agent of a VM. */
    private void startAgent(String vm) {
        mAgents.put(
                vm,
                new SimAgent(
                        this, vm, DATA_CENTRE_BY_VM.get(vm), mClocks.get(vm), mWorkers.get(vm)));
    }

    Simulation simulation() {
        return mSimulation;
    }

    /** Returns the defect to run with, or null. */
    TaskMutant mutant() {
        return mMutant;
    }

    /** Returns the current incarnation of an entry. */
    SimEntry entry(String name) {
        return mEntries.get(name);
    }

    /** Returns whether a task belongs to the service. */
    static boolean isService(TaskId task) {
        return task.job().equals(SERVICE_JOB);
    }

    /** Takes a data centre out of service and returns it to service after 30 s. */
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

    /** Returns a VM of a data centre. */
    private static String vmIn(String dataCentre) {
        return dataCentre.equals("a") ? "vm1" : "vm2";
    }

    // Events that the simulated processes report

    /**
     * Injects the faults when the step of the cell is first reached.
     *
     * @param vm name of the VM that the step concerns
     */
    void reachStep(TaskStep step, String vm) {
        if (step == mStep && !mFaultInjected) {
            mFaultInjected = true;
            for (Fault fault : mFaults) {
                mSimulation.trace("FAULT", fault + " at " + step + " (" + vm + ")");
                injectFault(fault, vm);
            }
        }
    }

    /**
     * Records that a worker has started an execution.
     *
     * @param usedResources resources of all running executions of the VM
     */
    void recordStart(Execution execution, Resources usedResources, Resources capacity) {
        mSimulation.trace(
                execution.mVm, execution + " from checkpoint '" + execution.mStartCheckpoint + "'");
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

    /** Handles that an agent has sent a task report. */
    void handleReportSent(TaskReport report, String vm) {
        if (isService(report.task())) {
            return;
        }
        switch (report.state()) {
            case RUNNING -> {
                reachStep(TaskStep.RUNNING, vm);
                beginScenario(vm);
            }
            case FINISHED -> {
                reachStep(TaskStep.FINISH_REPORTED, vm);
                reachStep(TaskStep.FINISH_AFTER_MOVE, vm);
            }
            case FAILED -> reachStep(TaskStep.FAILURE_REPORTED, vm);
            case CHECKPOINTED -> reachStep(TaskStep.CHECKPOINT_REPORTED, vm);
            case STOPPED -> reachStep(TaskStep.CANCEL_REPORTED, vm);
            default -> {}
        }
    }

    /** Handles that an entry has sent a message to the agent of a VM. */
    void handleMessageSent(Message message, String vm) {
        switch (message) {
            case HeartbeatAck ack -> mChecker.recordAcknowledgement(vm, ack.epoch());
            case SessionGrant grant -> mChecker.recordGrant(vm, grant.epoch());
            case StartTask start when !isService(start.task()) -> {
                boolean resumes = !start.checkpoint().isEmpty();
                reachStep(resumes ? TaskStep.RESUME_SENT : TaskStep.START_SENT, vm);
                beginDrainAtStart(vm);
            }
            case CheckpointTask checkpoint -> reachStep(TaskStep.CHECKPOINT_SENT, vm);
            case StopTask stop when !isService(stop.task()) -> reachStep(TaskStep.CANCEL_SENT, vm);
            default -> {}
        }
    }

    /** Handles that the owner has appended a record to its journal. */
    void handleAppend(JournalRecord record) {
        switch (record) {
            case JournalRecord.JobSubmitted submitted -> reachStep(TaskStep.SUBMITTED, "vm1");
            case JournalRecord.TaskPlaced placed -> reachStep(TaskStep.PLACED, placed.vm().value());
            default -> {}
        }
    }

    /** Handles that a journal record has been committed. */
    void handleCommit(JournalRecord record) {
        mChecker.recordCommit(record);
        if (record instanceof JournalRecord.TaskEnded) {
            reachStep(TaskStep.FINISH_COMMITTED, "vm1");
        }
    }

    /**
     * Handles that an entry has acquired the partition.
     *
     * @param entry the new owner; not used
     */
    void handleAcquisition(SimEntry entry, long epoch) {
        if (epoch > 1) {
            reachStep(TaskStep.TAKEOVER, "vm1");
            reachStep(TaskStep.FORMER_OWNER_CUT_OFF, "vm1");
            boolean moved =
                    mStep.scenario() == TaskStep.Scenario.STORE_CUT_MOVED || isJobSubmittedLate();
            if (epoch == 2 && moved) {
                mAgents.values().forEach(agent -> agent.link().closeByEntry());
            }
            if (epoch == 2 && isJobSubmittedLate()) {
                mSimulation.schedule(
                        LATE_SUBMISSION_DELAY, () -> submit(jobSpec(BATCH_JOB, JobKind.BATCH, 3)));
            }
        }
    }

    /** Handles that an owner has opened a session with the agent of a VM. */
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

    /**
     * Takes the data centre of a VM out of service while a task starts there, if the scenario
     * requires it.
     */
    private void beginDrainAtStart(String vm) {
        if (!mScenarioStarted && mStep.scenario() == TaskStep.Scenario.DRAIN_AT_START) {
            mScenarioStarted = true;
            mSimulation.schedule(
                    Duration.ofMillis(mSimulation.random().nextInt(12)),
                    () -> takeOutDataCentre(DATA_CENTRE_BY_VM.get(vm)));
            reachStep(TaskStep.OUT_DURING_START, vm);
        }
    }

    /** Begins the scenario of the step once a batch task runs on a VM. */
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
            case STORE_CUT, STORE_CUT_MOVED -> scheduleScenario(this::cutOwnerOffFromStore);
            default -> {}
        }
    }

    /** Cuts the first owner off from the store for 260 s. */
    private void cutOwnerOffFromStore() {
        mSimulation.trace("FAULT", "entry1 is cut off from the store");
        mStoreClients.get("entry1").faults().down(true);
        extendDisturbance(Duration.ofSeconds(260));
        mSimulation.schedule(
                Duration.ofSeconds(260), () -> mStoreClients.get("entry1").faults().down(false));
    }

    /** Returns whether the batch job is submitted only after the next owner has taken over. */
    private boolean isJobSubmittedLate() {
        return mStep.scenario() == TaskStep.Scenario.STORE_CUT_BEFORE_JOB;
    }

    /** Runs the event of the scenario after 3 s. */
    private void scheduleScenario(Runnable action) {
        mScenarioStarted = true;
        mSimulation.schedule(Duration.ofSeconds(3), action);
    }

    /** Cancels the batch job as an operator. */
    private void cancelBatchJob(String vm) {
        mSimulation.trace("operator", "cancels the batch job");
        sendCancelUntilCommitted();
        reachStep(TaskStep.CANCEL_REQUESTED, vm);
    }

    /** Sends the cancellation to the owner every 2 s until it is committed. */
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

    /** Returns the entry that believes it owns the partition; the second one if both do. */
    private Optional<SimEntry> currentOwner() {
        return mEntries.values().stream().filter(SimEntry::ownsPartition).reduce((a, b) -> b);
    }

    /** Submits a job to the owner, unless the owner knows it. */
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

    /** Returns the specification of a job. */
    private static JobSpec jobSpec(JobId id, JobKind kind, int tasks) {
        return new JobSpec(
                id, "team", kind, "web", tasks, TASK_RESOURCES, 0, false, 0, 3, List.of("run"));
    }

    // Faults

    /** Marks the cell as disturbed for at least a duration from now on. */
    private void extendDisturbance(Duration minDuration) {
        mDisturbedUntilNanos =
                Math.max(mDisturbedUntilNanos, mSimulation.nowNanos() + minDuration.toNanos());
    }

    /** Injects a fault into the owner or into the components of a VM. */
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

    /** Returns one of the values at random. */
    private int pickRandom(int... values) {
        return values[mSimulation.random().nextInt(values.length)];
    }

    /** Applies a store fault to all entries and clears it after the outage. */
    private void applyToStoreClients(
            Duration outage, java.util.function.Consumer<StoreClient> fault) {
        mStoreClients.values().forEach(fault);
        mSimulation.schedule(
                outage, () -> mStoreClients.values().forEach(client -> client.faults().clear()));
    }

    /**
     * Loses all messages on some paths of a VM during the outage.
     *
     * @param paths the paths without the name of the VM
     */
    private void cutPaths(Duration outage, String vm, List<String> paths) {
        List<String> vmPaths = paths.stream().map(path -> vm + path).toList();
        mSimulation.trace("FAULT", "cut " + vmPaths + " for " + outage);
        mCutPaths.addAll(vmPaths);
        mSimulation.schedule(outage, () -> mCutPaths.removeAll(vmPaths));
    }

    /** Kills an entry or the agent of a VM and restarts it after a random time. */
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

    /** Returns whether messages between a VM and an entry are lost in one direction. */
    boolean isPathCut(String vm, String entry, boolean toEntry) {
        return mCutPaths.contains(vm + (toEntry ? ">" : "<") + entry);
    }

    /** Returns the task list of a worker as an entry reads it, which fails during a network cut. */
    Uni<WorkerResult<List<TaskStatus>>> workerList(String entry, String vm) {
        return isPathCut(vm, entry, true) || isPathCut(vm, entry, false)
                ? Uni.createFrom().item(new WorkerResult.Unavailable<>("network cut"))
                : mWorkers.get(vm).list();
    }

    /** Returns the fault that affects the next message of a VM, or {@link Fault#NONE}. */
    Fault nextMessageFault(String vm) {
        if (mMessagesToAffect == 0 || !vm.equals(mMessageFaultVm)) {
            return Fault.NONE;
        }
        mMessagesToAffect--;
        return mMessageFault;
    }

    /**
     * Runs the cell until the batch job has ended and the service has settled, and checks the
     * recorded executions.
     */
    CellOutcome run() {
        mSimulation.runFor(Duration.ofSeconds(4));
        submit(jobSpec(SERVICE_JOB, JobKind.SERVICE, 1));
        mDisturbedUntilNanos = mSimulation.nowNanos();
        if (isJobSubmittedLate()) {
            scheduleScenario(this::cutOwnerOffFromStore);
            extendDisturbance(Duration.ofSeconds(10));
        } else {
            submit(jobSpec(BATCH_JOB, JobKind.BATCH, 3));
        }
        boolean settled = false;
        while (!settled && mSimulation.nowNanos() < TIME_LIMIT.toNanos()) {
            mSimulation.runFor(Duration.ofSeconds(1));
            if (mSimulation.nowNanos() > mDisturbedUntilNanos) {
                // As an operator would, repeats a submission that an owner did not confirm before
                // it was killed.
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

    /** Returns the job summaries of the owner for an error message. */
    private String summaries() {
        return currentOwner()
                .map(owner -> owner.controller().summaries().toString())
                .orElse("no owner");
    }

    /** Returns whether there is an owner whose jobs have reached the expected state. */
    private boolean hasSettled() {
        return currentOwner().filter(this::hasSettled).isPresent();
    }

    /** Returns whether the batch job has ended and the service runs, or has failed or may fail. */
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
