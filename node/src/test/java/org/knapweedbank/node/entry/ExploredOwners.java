package org.knapweedbank.node.entry;

import java.time.Duration;
import java.util.List;
import org.knapweedbank.jobs.JobQueue;
import org.knapweedbank.jobs.QueueKey;
import org.knapweedbank.jobs.owner.JobOwner;
import org.knapweedbank.jobs.owner.OwnerSettings;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.node.ManualTimers;
import org.knapweedbank.node.store.StoreChange;
import org.knapweedbank.time.ManualClock;

/** Owners of the explorer, one after the other, and their store. */
final class ExploredOwners {
    static final QueueKey QUEUE = new QueueKey("host", "/q/");
    private static final Duration LEASE = Duration.ofSeconds(6);
    private static final Duration OBJECTIVE = Duration.ofSeconds(1);
    private static final Duration CONFIRM_INTERVAL = Duration.ofMillis(100);
    private static final Duration STORE_FAULT_TIME = Duration.ofSeconds(2);
    private static final Duration HANDOVER_TIME = Duration.ofMillis(200);

    private final ManualTimers mTimers;
    private final ManualClock mClock;
    private final EventTrace mTrace;
    private OwnershipTerm mCurrent;
    private long mLastTerm;
    private boolean mChanging;

    final FakeStore mStore;

    ExploredOwners(ManualTimers timers, ManualClock clock, EventTrace trace) {
        mTimers = timers;
        mClock = clock;
        mTrace = trace;
        mStore = new FakeStore(timers);
    }

    /** Returns the owner that processes find at present; null while there is none. */
    OwnershipTerm current() {
        return mCurrent;
    }

    void startNextTerm() {
        long term = ++mLastTerm;
        mStore.apply(new StoreChange().put(StoreKeys.TERM, Long.toString(term).getBytes(), 0));
        OwnerSettings owner =
                new OwnerSettings(
                        LEASE,
                        Duration.ofSeconds(6),
                        Duration.ofMillis(1_500),
                        Duration.ofSeconds(3),
                        Duration.ofSeconds(4),
                        Duration.ofSeconds(150),
                        1);
        OwnershipTerm[] created = new OwnershipTerm[1];
        created[0] =
                new OwnershipTerm(
                        new EntrySettings(new DaemonId("e"), 1, "e", 1, 1, LEASE, owner),
                        mClock,
                        mTimers,
                        mStore,
                        mTrace.log("owner-" + term),
                        term,
                        mStore.item(StoreKeys.TERM).revision(),
                        () -> created[0].stop());
        mCurrent = created[0];
        mChanging = false;
        mCurrent.load(loaded -> confirmPeriodically(loaded, term));
    }

    private void confirmPeriodically(JobOwner owner, long term) {
        owner.configure(List.of(new JobQueue(QUEUE, "svc", 0, 1, 1, OBJECTIVE, OBJECTIVE)));
        owner.markViewCurrent();
        mTimers.every(
                CONFIRM_INTERVAL,
                () -> {
                    if (term == mLastTerm && !mChanging && !mStore.mUnavailable) {
                        owner.confirmOwnership();
                        owner.markViewCurrent();
                    }
                });
    }

    /** Applies a fault of the owner or of the store. */
    void apply(FaultEvent fault) {
        Duration length = Duration.ofMillis(fault.lengthMillis());
        switch (fault.kind()) {
            case OWNER_HANDOVER, OWNER_KILL, OWNER_REPLACEMENT -> changeOwner(fault.kind(), length);
            case STORE_OUTAGE -> {
                mStore.mUnavailable = true;
                mTimers.after(length, () -> mStore.mUnavailable = false);
            }
            case STORE_FAULTS -> {
                FakeStore.WriteFault[] kinds = FakeStore.WriteFault.values();
                var random = FaultPlan.random(fault.seed());
                mTimers.after(STORE_FAULT_TIME, mStore.mWriteFaults::clear);
                for (int i = random.nextInt(6); i >= 0; i--) {
                    mStore.mWriteFaults.add(kinds[random.nextInt(kinds.length)]);
                }
            }
            default -> throw new IllegalArgumentException("not a fault of the owner: " + fault);
        }
    }

    private void changeOwner(FaultKind kind, Duration noticeDelay) {
        if (mChanging) {
            return;
        }
        mChanging = true;
        OwnershipTerm former = mCurrent;
        switch (kind) {
            case OWNER_HANDOVER ->
                    former.drain(
                            Duration.ofSeconds(1),
                            () -> {
                                former.stop();
                                mTimers.after(HANDOVER_TIME, this::startNextTerm);
                            });
            case OWNER_KILL -> {
                former.stop();
                mTimers.after(LEASE, this::startNextTerm);
            }
            default -> {
                mTimers.after(LEASE, this::startNextTerm);
                mTimers.after(LEASE.plus(noticeDelay), former::stop);
            }
        }
    }
}
