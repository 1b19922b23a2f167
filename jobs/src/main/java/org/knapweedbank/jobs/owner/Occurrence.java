package org.knapweedbank.jobs.owner;

import java.util.ArrayList;
import java.util.List;

/** One scheduled occurrence of a job, in which each step runs once. */
final class Occurrence {
    final int mNumber;
    final List<Step> mSteps;

    Occurrence(Job job, int number) {
        mNumber = number;
        mSteps = new ArrayList<>(job.submission().steps().size());
        for (int i = 0; i < job.submission().steps().size(); i++) {
            mSteps.add(new Step(job, this, i, job.submission().steps().get(i)));
        }
    }

    boolean complete() {
        return mSteps.stream().allMatch(Step::complete);
    }
}
