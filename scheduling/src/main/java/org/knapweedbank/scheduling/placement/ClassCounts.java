package org.knapweedbank.scheduling.placement;

import java.util.Arrays;

/** Small multiset of task class numbers; a VM holds few classes at a time. */
public final class ClassCounts {
    private static final int INITIAL_SIZE = 4;

    private int[] mClasses = new int[INITIAL_SIZE];
    private int[] mCounts = new int[INITIAL_SIZE];
    private int mSize;

    void add(int taskClass) {
        int at = find(taskClass);
        if (at < 0) {
            if (mSize == mClasses.length) {
                mClasses = Arrays.copyOf(mClasses, 2 * mSize);
                mCounts = Arrays.copyOf(mCounts, 2 * mSize);
            }
            at = mSize++;
            mClasses[at] = taskClass;
            mCounts[at] = 0;
        }
        mCounts[at]++;
    }

    void remove(int taskClass) {
        int at = find(taskClass);
        if (at >= 0 && --mCounts[at] == 0) {
            mSize--;
            mClasses[at] = mClasses[mSize];
            mCounts[at] = mCounts[mSize];
        }
    }

    private int find(int taskClass) {
        for (int i = 0; i < mSize; i++) {
            if (mClasses[i] == taskClass) {
                return i;
            }
        }
        return -1;
    }

    /**
     * Number of different classes.
     *
     * @return the number
     */
    public int size() {
        return mSize;
    }

    /**
     * Class at a position.
     *
     * @param position from 0 to {@link #size} - 1
     * @return number of the class
     */
    public int classAt(int position) {
        return mClasses[position];
    }
}
