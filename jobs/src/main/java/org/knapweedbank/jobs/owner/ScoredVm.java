package org.knapweedbank.jobs.owner;

import java.util.Comparator;

/**
 * A VM that may take a task; the natural order puts the best VM first.
 *
 * @param vm the VM
 * @param score its score for the task; the lowest is the best
 */
record ScoredVm(Vm vm, double score) implements Comparable<ScoredVm> {
    private static final Comparator<ScoredVm> ORDER =
            Comparator.comparingDouble(ScoredVm::score)
                    .thenComparing(scored -> scored.vm().mAgent.value());

    @Override
    public int compareTo(ScoredVm other) {
        return ORDER.compare(this, other);
    }
}
