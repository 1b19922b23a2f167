package org.knapweedbank.model;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * Amount of CPU, memory and accelerators of a VM or a task.
 *
 * @param milliCpu CPU in thousandths of a core
 * @param memoryMb memory in MiB
 * @param accelerators number of whole accelerators
 */
public record Resources(long milliCpu, long memoryMb, int accelerators) {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Returns the sum of this amount and another one.
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
     * Returns this amount less another one. Components of the result may be negative.
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
     * Returns this amount with each component multiplied by a factor.
     *
     * @param factor the factor
     * @return the product
     */
    public Resources times(int factor) {
        return new Resources(milliCpu * factor, memoryMb * factor, accelerators * factor);
    }

    /**
     * Returns whether each component of this amount is at most that of the available amount.
     *
     * @param available the available amount
     * @return true if it fits
     */
    public boolean fitsIn(Resources available) {
        return milliCpu <= available.milliCpu
                && memoryMb <= available.memoryMb
                && accelerators <= available.accelerators;
    }

    /**
     * Returns whether no component is negative.
     *
     * @return true if all components are zero or more
     */
    @JsonIgnore
    public boolean isNonNegative() {
        return milliCpu >= 0 && memoryMb >= 0 && accelerators >= 0;
    }
}
