package org.knapweedbank.scheduling.interference;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.scheduling.LearnedState;
import org.knapweedbank.scheduling.placement.PairCosts;
import org.knapweedbank.time.Clock;

/** Learned interference of each pair of a service class and a batch class; decays with time. */
public final class PairPenalties implements PairCosts {
    /** Classes with own numbers; all later ones share number 0. */
    private static final int MAX_CLASSES = 128;

    /** Time after which an observation counts half, since load shifts within the day. */
    private static final double HALF_LIFE_NANOS = Duration.ofMinutes(30).toNanos();

    /** Penalties below this are left out of the snapshot. */
    private static final double NEGLIGIBLE = 0.01;

    private static final class Cell {
        private double mValue;
        private long mNanos;
    }

    private final Clock mClock;
    private final Map<String, Integer> mNumbers = new HashMap<>();
    private final Cell[][] mCells = new Cell[MAX_CLASSES][];

    /**
     * Creates penalties that are all zero.
     *
     * @param clock source of time
     */
    public PairPenalties(Clock clock) {
        mClock = clock;
    }

    @Override
    public int numberOf(String taskClass) {
        Integer number = mNumbers.get(taskClass);
        if (number == null) {
            if (mNumbers.size() == MAX_CLASSES - 1) {
                return 0;
            }
            number = mNumbers.size() + 1;
            mNumbers.put(taskClass, number);
        }
        return number;
    }

    @Override
    public double cost(int serviceClass, int batchClass) {
        Cell[] row = mCells[serviceClass];
        Cell cell = row == null ? null : row[batchClass];
        return cell == null ? 0 : decayed(cell);
    }

    private double decayed(Cell cell) {
        long age = mClock.monotonicNanos() - cell.mNanos;
        return cell.mValue * Math.pow(0.5, age / HALF_LIFE_NANOS);
    }

    /**
     * Moves the penalty of a pair towards an observation.
     *
     * @param serviceClass number of the service's class
     * @param batchClass number of the batch task's class
     * @param observed observed interference from 0 to 1
     * @param weight weight of the observation from 0 to 1
     */
    void observe(int serviceClass, int batchClass, double observed, double weight) {
        if (mCells[serviceClass] == null) {
            mCells[serviceClass] = new Cell[MAX_CLASSES];
        }
        Cell[] row = mCells[serviceClass];
        if (row[batchClass] == null) {
            row[batchClass] = new Cell();
        }
        Cell cell = row[batchClass];
        double before = decayed(cell);
        cell.mValue = before + weight * (observed - before);
        cell.mNanos = mClock.monotonicNanos();
    }

    /**
     * What has been learned.
     *
     * @return the pairs with a penalty that matters
     */
    public List<LearnedState.PairPenalty> snapshot() {
        List<LearnedState.PairPenalty> pairs = new ArrayList<>();
        for (Map.Entry<String, Integer> service : mNumbers.entrySet()) {
            for (Map.Entry<String, Integer> batch : mNumbers.entrySet()) {
                double value = cost(service.getValue(), batch.getValue());
                if (value >= NEGLIGIBLE) {
                    pairs.add(
                            new LearnedState.PairPenalty(service.getKey(), batch.getKey(), value));
                }
            }
        }
        return pairs;
    }

    /**
     * Takes over what has been learned before; decay continues from the present.
     *
     * @param pairs the pairs
     */
    public void restore(List<LearnedState.PairPenalty> pairs) {
        for (LearnedState.PairPenalty pair : pairs) {
            observe(numberOf(pair.serviceClass()), numberOf(pair.batchClass()), pair.value(), 1);
        }
    }
}
