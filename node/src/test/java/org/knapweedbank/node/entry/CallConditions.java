package org.knapweedbank.node.entry;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.knapweedbank.time.Clock;

/** Draws the delays and losses of the calls from an agent to its worker. */
final class CallConditions {
    private final Clock mClock;
    private final List<BadPeriod> mBadPeriods = new ArrayList<>();

    CallConditions(Clock clock) {
        mClock = clock;
    }

    /** Kinds of calls. */
    enum Call {
        START,
        STOP,
        RENEWAL,
        PACE
    }

    /**
     * Fate of a call.
     *
     * @param requestMillis delay until the worker receives the call
     * @param answerMillis delay of the answer
     * @param answerLost true if the caller gets no answer
     */
    record Fate(int requestMillis, int answerMillis, boolean answerLost) {}

    private record BadPeriod(
            long mEndMillis,
            UniformRandomProvider mRandom,
            List<Call> mCalls,
            int mMaxRequestMillis,
            int mMaxAnswerMillis,
            int mLostPercent,
            int mLatePercent,
            int mMaxLateMillis) {}

    /** Lets calls fail from now until the fault ends. */
    void add(FaultEvent fault) {
        UniformRandomProvider random = FaultPlan.random(fault.seed());
        List<Call> calls =
                random.nextBoolean()
                        ? List.of(Call.values())
                        : List.of(Call.values()[random.nextInt(3)]);
        boolean slowOnly = fault.kind() == FaultKind.SLOW_CALLS;
        mBadPeriods.add(
                new BadPeriod(
                        mClock.monotonicMillis() + fault.lengthMillis(),
                        random,
                        calls,
                        FaultPlan.pick(random, 2, 20, slowOnly ? 50 : 200),
                        slowOnly ? 100 : FaultPlan.pick(random, 2, 20, 200, 800),
                        slowOnly ? 0 : FaultPlan.pick(random, 0, 0, 20, 100),
                        slowOnly ? 0 : FaultPlan.pick(random, 0, 0, 20, 100),
                        FaultPlan.pick(random, 1_500, 6_000)));
    }

    /** Draws the fate of a call that is sent now. */
    Fate draw(Call call) {
        long now = mClock.monotonicMillis();
        return mBadPeriods.stream()
                .filter(period -> now < period.mEndMillis())
                .filter(period -> period.mCalls().contains(call))
                .findFirst()
                .map(CallConditions::draw)
                .orElse(new Fate(0, 1, false));
    }

    private static Fate draw(BadPeriod period) {
        UniformRandomProvider random = period.mRandom();
        boolean lost = random.nextInt(100) < period.mLostPercent();
        boolean late = random.nextInt(100) < period.mLatePercent();
        int requestMillis = random.nextInt(period.mMaxRequestMillis());
        int lateMillis = random.nextInt(period.mMaxLateMillis());
        int answerMillis = random.nextInt(period.mMaxAnswerMillis());
        return new Fate(late ? lateMillis : requestMillis, answerMillis, lost || late);
    }
}
