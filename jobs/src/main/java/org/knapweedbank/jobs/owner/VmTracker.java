package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knapweedbank.jobs.AgentReport;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.TailLatency;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;

/** Follows the VMs: which worker lives where, what it runs, and what may still run out of reach. */
final class VmTracker {
    /** Percentage at which a long-running task is at work. */
    private static final int AT_WORK = 100;

    /** Share of its demand below which a filler counts as starved of processor time. */
    private static final double STARVED_SHARE = 0.5;

    /** Change of a filler's rank, as a share of it, from which its agent is told. */
    private static final double RANK_CHANGE = 0.1;

    /** Time after which the growing silence of a VM is stored again. */
    private static final long SILENCE_STEP_MILLIS = 1_000;

    /**
     * Silence that is not stored. A VM that is heard from within this time, as after most
     * takeovers, can be answered without a write.
     */
    private static final long UNSTORED_SILENCE_MILLIS = 3_000;

    private final OwnerState mState;
    private final AttemptTracker mAttempts;
    private final VmList mList;
    private final HangDetector mHangs;

    /** VMs of earlier owners that have not yet told this owner what they run. */
    private final Map<DaemonId, ListedVm> mUnresolved;

    private long mSilenceStoredAt;

    VmTracker(OwnerState state, AttemptTracker attempts, VmList list) {
        mState = state;
        mAttempts = attempts;
        mList = list;
        mHangs = new HangDetector(state, attempts);
        mUnresolved = new HashMap<>(list.vms());
        mSilenceStoredAt = state.mTakenOverAt;
    }

    VmList list() {
        return mList;
    }

    /**
     * Tells whether a task that an earlier owner may have started could still run on a VM that has
     * not reported yet.
     */
    boolean unresolved() {
        return mUnresolved.values().stream().anyMatch(vm -> !gone(vm));
    }

    /** Tells whether nothing can run any more on a VM that no owner has heard from. */
    private boolean gone(ListedVm vm) {
        return silence(vm).compareTo(mState.mSettings.earlierOwnerEnd()) >= 0;
    }

    /** Time without a word from a VM, over all terms. What passes between terms does not count. */
    private Duration silence(ListedVm vm) {
        return vm.silence().plusMillis(mState.now() - mState.mTakenOverAt);
    }

    void report(DaemonId agent, DataCentreId dataCentre, AgentReport report, boolean sameProcess) {
        Vm vm = mState.mVms.computeIfAbsent(agent, id -> new Vm(id, dataCentre));
        vm.mConnected = true;
        if (report.worker().isEmpty() || outdated(vm, report.worker().get())) {
            return;
        }
        meet(vm, report.worker().get());
        if (!report.listed()) {
            return;
        }
        resolve(vm.mAgent);
        report.ended().forEach(end -> mAttempts.ended(vm, end));
        report.running().forEach(row -> reconcile(vm, row, true));
        report.starting().forEach(row -> reconcile(vm, row, false));
        releaseAbsent(vm, report, sameProcess);
        vm.mAttempts.values().forEach(this::describe);
        register(vm);
        mState.mOutput.acknowledgeEnds(vm.mAgent, vm.acknowledgeable());
    }

    /** Takes the complete list of what a worker runs. */
    void progress(DaemonId agent, WorkerId worker, List<RunningTask> running) {
        Vm vm = mState.mVms.get(agent);
        if (vm == null || !vm.runs(worker)) {
            return;
        }
        running.forEach(row -> reconcile(vm, row, true));
        sample(vm, running);
        Set<TaskName> listed = new HashSet<>();
        running.forEach(row -> listed.add(row.task()));
        vm.mForeign.retainAll(listed);
        long settled = mState.now() - mState.mSettings.orderSettling().toMillis();
        List.copyOf(vm.mAttempts.values()).stream()
                .filter(a -> !listed.contains(a.mTask.mName) && a.mOrderedAt < settled)
                .forEach(a -> absent(vm, a));
        describeRanks(vm);
        mHangs.inspect(vm, listed);
    }

    void update(DaemonId agent, WorkerInfo worker) {
        Vm vm = mState.mVms.get(agent);
        if (vm != null && vm.runs(worker.id())) {
            vm.mWorker = worker;
        }
    }

    void lost(DaemonId agent, WorkerId worker, String reason) {
        resolveIf(agent, worker);
        Vm vm = mState.mVms.get(agent);
        if (vm == null || !vm.runs(worker)) {
            return;
        }
        forget(vm, reason);
    }

    void disconnected(DaemonId agent) {
        Vm vm = mState.mVms.get(agent);
        if (vm != null) {
            vm.mConnected = false;
        }
    }

    /** Tells whether the agent may be answered, which gives it authority over leases for a time. */
    boolean answers(DaemonId agent) {
        Vm vm = mState.mVms.get(agent);
        if (vm == null || !mState.confirmed() || mList.storedAsSilent(agent)) {
            return false;
        }
        vm.mAnsweredAt = mState.now();
        return true;
    }

    /** Gives up VMs that have been out of reach for longer than any lease there can last. */
    void expire() {
        long limit = mState.mSettings.leaseEnd().toMillis();
        mState.mVms.values().stream()
                .filter(vm -> vm.mWorker != null && mState.now() - vm.mAnsweredAt > limit)
                .filter(vm -> mState.now() - mState.mTakenOverAt > limit)
                .toList()
                .forEach(vm -> forget(vm, "out of reach longer than its lease"));
        mUnresolved.entrySet().stream()
                .filter(entry -> gone(entry.getValue()))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::resolve);
        storeSilence();
    }

    /** Has the silence of VMs stored, so that a later owner need not wait for them anew. */
    private void storeSilence() {
        boolean young = mState.now() - mState.mTakenOverAt < UNSTORED_SILENCE_MILLIS;
        if (!young && mState.now() - mSilenceStoredAt >= SILENCE_STEP_MILLIS) {
            mSilenceStoredAt = mState.now();
            mUnresolved.forEach((agent, vm) -> mList.silent(agent, silence(vm)));
        }
    }

    void stored() {
        mState.mVms.values().stream()
                .filter(vm -> vm.mWorker != null && !mList.dirty())
                .forEach(vm -> vm.mRegistered = mList.names(vm.mAgent, vm.mWorker.id()));
    }

    private boolean outdated(Vm vm, WorkerInfo worker) {
        return vm.mWorker != null && vm.mWorker.id().incarnation() > worker.id().incarnation();
    }

    private void meet(Vm vm, WorkerInfo worker) {
        if (vm.runs(worker.id())) {
            vm.mWorker = worker;
            return;
        }
        if (vm.mWorker != null) {
            mAttempts.lost(vm, "worker restarted");
        }
        vm.reborn(worker);
        vm.mAnsweredAt = mState.now();
        mState.mLog.record(
                "vm.joined",
                vm.mAgent.value(),
                "worker",
                worker.id(),
                "service",
                worker.service(),
                "cpu",
                worker.capacity().milliCpu());
    }

    private void register(Vm vm) {
        mList.put(vm.mAgent, vm.mWorker.id());
        vm.mRegistered = vm.mRegistered || !mList.dirty();
    }

    private void forget(Vm vm, String reason) {
        mState.mLog.record("vm.lost", vm.mAgent.value(), "reason", reason);
        mAttempts.lost(vm, reason);
        vm.mWorker = null;
        vm.mRegistered = false;
        mList.remove(vm.mAgent);
    }

    private void resolveIf(DaemonId agent, WorkerId worker) {
        ListedVm vm = mUnresolved.get(agent);
        if (vm != null && vm.worker().equals(worker)) {
            resolve(agent);
        }
    }

    private void resolve(DaemonId agent) {
        ListedVm vm = mUnresolved.remove(agent);
        if (vm != null) {
            mState.mLog.record(
                    "vm.resolved",
                    agent.value(),
                    "silence_ms",
                    silence(vm).toMillis(),
                    "left",
                    mUnresolved.size());
            if (!mState.mVms.containsKey(agent)) {
                mList.remove(agent);
            }
        }
    }

    private void reconcile(Vm vm, RunningTask row, boolean confirmed) {
        Task task = mState.task(row.task());
        if (task == null) {
            vm.mForeign.add(row.task());
            mState.mOutput.stop(vm.mAgent, row.task(), row.run());
            return;
        }
        Attempt attempt = task.mAttempt;
        if (attempt != null && (attempt.mVm != vm || attempt.mRun > row.run())) {
            duplicate(vm, row, attempt);
            return;
        }
        if (attempt == null || attempt.mRun < row.run()) {
            if (attempt != null) {
                mAttempts.release(attempt);
            }
            attempt = mAttempts.adopt(task, vm, row.run());
        }
        if (confirmed) {
            mAttempts.confirm(attempt);
            follow(attempt, row);
        }
        if (attempt.mStopping || task.mDone || task.mStep.mJob.finished()) {
            mAttempts.stop(attempt, "not wanted any more");
        }
    }

    /** Learns from the figures of a VM. */
    private void sample(Vm vm, List<RunningTask> running) {
        Map<String, Double> utilization = new HashMap<>();
        Map<String, Double> use = new HashMap<>();
        double capacity = Math.max(1, vm.mWorker.capacity().milliCpu());
        for (RunningTask row : running) {
            Task task = mState.task(row.task());
            if (task == null) {
                continue;
            }
            var spec = task.mStep.mSpec;
            if (spec.serving() && row.percent() == AT_WORK) {
                double load = (double) row.figure() / spec.latencyObjective().toMillis();
                utilization.put(row.task().toString(), TailLatency.utilization(load));
            } else if (spec.traits().filler()) {
                use.merge(spec.image(), row.figure() / capacity, Double::sum);
            }
        }
        PressureEstimator.Sample sample = new PressureEstimator.Sample(utilization, use);
        if (vm.mSample != null) {
            mState.mPressure.observe(vm.mSample, sample);
        }
        vm.mSample = sample;
    }

    /** Takes note of the progress of a run and of the processor time that it got. */
    private void follow(Attempt attempt, RunningTask row) {
        var spec = attempt.mTask.mStep.mSpec;
        if (!spec.serving()) {
            attempt.mTask.mStep.mJob.mUsedCoreMillis += attempt.use(row.figure(), mState.now());
        }
        long demand = spec.perTask().milliCpu();
        boolean starved = row.figure() < demand * STARVED_SHARE;
        attempt.mStarvedReports = starved ? attempt.mStarvedReports + 1 : 0;
        if (row.percent() != attempt.mPercent) {
            attempt.mProgressAt = mState.now();
        }
        attempt.mPercent = row.percent();
        attempt.mCheckpoint = row.checkpoint();
    }

    private void describe(Attempt attempt) {
        var spec = attempt.mTask.mStep.mSpec;
        if (spec.traits().filler() || spec.serving()) {
            describe(attempt, mState.profile(attempt));
        }
    }

    private void describe(Attempt attempt, RunProfile profile) {
        attempt.mRank = profile.rank();
        mState.mOutput.describe(attempt.mVm.mAgent, attempt.mTask.mName, attempt.mRun, profile);
    }

    /** Tells the agent of a VM which fillers have changed their rank by a good part. */
    private void describeRanks(Vm vm) {
        for (Attempt attempt : vm.mAttempts.values()) {
            if (!attempt.mTask.mStep.mSpec.traits().filler()) {
                continue;
            }
            RunProfile profile = mState.profile(attempt);
            if (differs(profile.rank(), attempt.mRank)) {
                describe(attempt, profile);
            }
        }
    }

    private static boolean differs(double rank, double known) {
        return Math.abs(rank - known) > RANK_CHANGE * known;
    }

    private void duplicate(Vm vm, RunningTask row, Attempt attempt) {
        if (attempt.mVm != vm) {
            vm.mForeign.add(row.task());
        }
        mState.mLog.record(
                "task.duplicate",
                row.task(),
                "run",
                row.run(),
                "vm",
                vm.mAgent.value(),
                "kept_run",
                attempt.mRun,
                "kept_vm",
                attempt.mVm.mAgent.value());
        mState.mOutput.stop(vm.mAgent, row.task(), row.run());
    }

    private void releaseAbsent(Vm vm, AgentReport report, boolean sameProcess) {
        Set<TaskName> listed = new HashSet<>();
        report.running().forEach(row -> listed.add(row.task()));
        report.starting().forEach(row -> listed.add(row.task()));
        long settled = mState.now() - mState.mSettings.orderSettling().toMillis();
        List.copyOf(vm.mAttempts.values()).stream()
                .filter(a -> !listed.contains(a.mTask.mName))
                .filter(a -> sameProcess || a.mOrderedAt < settled)
                .forEach(a -> absent(vm, a));
    }

    private void absent(Vm vm, Attempt attempt) {
        mState.mLog.record(
                "task.absent", attempt.mTask.mName, "run", attempt.mRun, "vm", vm.mAgent.value());
        mAttempts.release(attempt);
    }
}
