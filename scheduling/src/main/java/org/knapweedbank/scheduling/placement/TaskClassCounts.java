package org.knapweedbank.scheduling.placement;

import java.util.Arrays;

/** Multiset of task class numbers, stored in arrays because a VM has tasks of few classes. */
public final class TaskClassCounts {
    private static final int INITIAL_CAPACITY = 4;

    private int[] mClassNumbers = new int[INITIAL_CAPACITY];
    private int[] mCounts = new int[INITIAL_CAPACITY];
    private int mSize;

    void add(int classNumber) {
        int index = find(classNumber);
        if (index < 0) {
            if (mSize == mClassNumbers.length) {
                mClassNumbers = Arrays.copyOf(mClassNumbers, 2 * mSize);
                mCounts = Arrays.copyOf(mCounts, 2 * mSize);
            }
            index = mSize++;
            mClassNumbers[index] = classNumber;
            mCounts[index] = 0;
        }
        mCounts[index]++;
    }

    void remove(int classNumber) {
        int index = find(classNumber);
        if (index >= 0 && --mCounts[index] == 0) {
            mSize--;
            mClassNumbers[index] = mClassNumbers[mSize];
            mCounts[index] = mCounts[mSize];
        }
    }

    private int find(int classNumber) {
        for (int i = 0; i < mSize; i++) {
            if (mClassNumbers[i] == classNumber) {
                return i;
            }
        }
        return -1;
    }

    /**
     * Returns the number of distinct classes.
     *
     * @return the number
     */
    public int size() {
        return mSize;
    }

    /**
     * Returns the class at a position.
     *
     * @param position position from 0 to {@link #size} - 1
     * @return number of the class
     */
    public int classAt(int position) {
        return mClassNumbers[position];
    }
}
