package org.knapweedbank.scheduling.interference;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.scheduling.LearnedState;
import org.knapweedbank.scheduling.placement.InterferenceCosts;
import org.knapweedbank.time.Clock;

/**
 * Learned interference penalty of each pair of a service class and a batch class. Penalties decay
 * exponentially over time.
 */
public final class InterferencePenalties implements InterferenceCosts {
    /** Number of class numbers; all classes beyond it share number 0. */
    private static final int MAX_CLASSES = 128;

    /** Half-life of an observation; short because load shifts within a day. */
    private static final double HALF_LIFE_NANOS = Duration.ofMinutes(30).toNanos();

    /** Penalties below this value are omitted from the snapshot. */
    private static final double MIN_SNAPSHOT_PENALTY = 0.01;

    /** Penalty of one pair as of its last update. */
    private static final class Penalty {
        private double mValue;
        private long mUpdatedNanos;
    }

    private final Clock mClock;
    private final Map<String, Integer> mClassNumbers = new HashMap<>();
    private final Penalty[][] mPenalties = new Penalty[MAX_CLASSES][];

    /**
     * Creates penalties that are all zero.
     *
     * @param clock source of time
     */
    public InterferencePenalties(Clock clock) {
        mClock = clock;
    }

    @Override
    public int classNumber(String taskClass) {
        Integer classNumber = mClassNumbers.get(taskClass);
        if (classNumber == null) {
            if (mClassNumbers.size() == MAX_CLASSES - 1) {
                return 0;
            }
            classNumber = mClassNumbers.size() + 1;
            mClassNumbers.put(taskClass, classNumber);
        }
        return classNumber;
    }

    @Override
    public double cost(int serviceClass, int batchClass) {
        Penalty[] row = mPenalties[serviceClass];
        Penalty penalty = row == null ? null : row[batchClass];
        return penalty == null ? 0 : decayedValue(penalty);
    }

    private double decayedValue(Penalty penalty) {
        long age = mClock.monotonicNanos() - penalty.mUpdatedNanos;
        return penalty.mValue * Math.pow(0.5, age / HALF_LIFE_NANOS);
    }

    /**
     * Moves the penalty of a pair towards an observed value.
     *
     * @param serviceClass number of the service class
     * @param batchClass number of the batch class
     * @param observed observed interference from 0 to 1
     * @param weight weight of the observation from 0 to 1
     */
    void observe(int serviceClass, int batchClass, double observed, double weight) {
        if (mPenalties[serviceClass] == null) {
            mPenalties[serviceClass] = new Penalty[MAX_CLASSES];
        }
        Penalty[] row = mPenalties[serviceClass];
        if (row[batchClass] == null) {
            row[batchClass] = new Penalty();
        }
        Penalty penalty = row[batchClass];
        double previous = decayedValue(penalty);
        penalty.mValue = previous + weight * (observed - previous);
        penalty.mUpdatedNanos = mClock.monotonicNanos();
    }

    /**
     * Returns the learned penalties for a snapshot.
     *
     * @return the pairs whose penalty is not negligible
     */
    public List<LearnedState.PairPenalty> snapshot() {
        List<LearnedState.PairPenalty> pairs = new ArrayList<>();
        for (Map.Entry<String, Integer> service : mClassNumbers.entrySet()) {
            for (Map.Entry<String, Integer> batch : mClassNumbers.entrySet()) {
                double value = cost(service.getValue(), batch.getValue());
                if (value >= MIN_SNAPSHOT_PENALTY) {
                    pairs.add(
                            new LearnedState.PairPenalty(service.getKey(), batch.getKey(), value));
                }
            }
        }
        return pairs;
    }

    /**
     * Restores penalties from a snapshot. They decay from the present time on.
     *
     * @param pairs penalties from the snapshot
     */
    public void restore(List<LearnedState.PairPenalty> pairs) {
        for (LearnedState.PairPenalty pair : pairs) {
            observe(
                    classNumber(pair.serviceClass()),
                    classNumber(pair.batchClass()),
                    pair.value(),
                    1);
        }
    }
}
