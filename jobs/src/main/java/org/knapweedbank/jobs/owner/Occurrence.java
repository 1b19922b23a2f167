package org.knapweedbank.jobs.owner;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.jobs.Timetable;

/** One scheduled occurrence of a job, in which each step runs once. */
final class Occurrence {
    final int mNumber;
    final List<Step> mSteps;
    private final Timetable mTimetable;

    Occurrence(Job job, int number) {
        mNumber = number;
        mTimetable = job.submission().timetable();
        mSteps = new ArrayList<>(job.submission().steps().size());
        for (int i = 0; i < job.submission().steps().size(); i++) {
            mSteps.add(new Step(job, this, i, job.submission().steps().get(i)));
        }
    }

    /** Returns whether the occurrence may start by the timetable of its job. */
    boolean due(Instant now) {
        return !mTimetable.hasDueTimes() || !now.isBefore(mTimetable.due(mNumber));
    }

    boolean complete() {
        return mSteps.stream().allMatch(Step::complete);
    }
}
