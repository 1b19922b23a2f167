package org.knapweedbank.jobs.admission;

import java.util.Comparator;
import java.util.List;

/**
 * Remaining work of the unfinished jobs of a pool at one moment, in order of urgency.
 *
 * @param <U> type of the urgency
 */
final class Backlog<U extends Urgency<U>> {
    private final List<QueuedWork<U>> mWork;

    /** Work of the first n jobs in core-milliseconds, by n. */
    private final double[] mSums;

    Backlog(List<QueuedWork<U>> work) {
        mWork = work.stream().sorted(Comparator.comparing(QueuedWork<U>::urgency)).toList();
        mSums = new double[mWork.size() + 1];
        for (int i = 0; i < mWork.size(); i++) {
            mSums[i + 1] = mSums[i] + mWork.get(i).coreMillis();
        }
    }

    /** Returns the work of jobs that are as urgent or more urgent, in core-milliseconds. */
    double workBefore(U urgency) {
        int low = 0;
        int high = mWork.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (mWork.get(middle).urgency().compareTo(urgency) <= 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return mSums[low];
    }
}
