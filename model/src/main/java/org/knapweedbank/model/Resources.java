package org.knapweedbank.model;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * Amount of processor time, memory and accelerators of a VM or a task.
 *
 * @param milliCpu processor time in thousandths of a core
 * @param memoryMb memory in MiB
 * @param accelerators number of whole accelerators
 */
public record Resources(long milliCpu, long memoryMb, int accelerators) {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Adds another amount.
     *
     * @param other the amount to add
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                milliCpu + other.milliCpu,
                memoryMb + other.memoryMb,
                accelerators + other.accelerators);
    }

    /**
     * Subtracts another amount; a component of the result may be negative.
     *
     * @param other the amount to subtract
     * @return the difference
     */
    public Resources minus(Resources other) {
        return new Resources(
                milliCpu - other.milliCpu,
                memoryMb - other.memoryMb,
                accelerators - other.accelerators);
    }

    /**
     * Multiplies each component.
     *
     * @param count the factor
     * @return the product
     */
    public Resources times(int count) {
        return new Resources(milliCpu * count, memoryMb * count, accelerators * count);
    }

    /**
     * Tells whether this amount fits into the given free amount in each component.
     *
     * @param free the free amount
     * @return true if it fits
     */
    public boolean fitsIn(Resources free) {
        return milliCpu <= free.milliCpu
                && memoryMb <= free.memoryMb
                && accelerators <= free.accelerators;
    }

    /**
     * Tells whether no component is negative.
     *
     * @return true if all components are zero or more
     */
    @JsonIgnore
    public boolean isNonNegative() {
        return milliCpu >= 0 && memoryMb >= 0 && accelerators >= 0;
    }
}
