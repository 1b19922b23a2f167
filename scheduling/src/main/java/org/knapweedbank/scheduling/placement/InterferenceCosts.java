package org.knapweedbank.scheduling.placement;

/**
 * Cost of placing a service class and a batch class on the same VM. Classes are identified by small
 * numbers.
 */
public interface InterferenceCosts {
    /** Costs that are always zero; all classes have number 0. */
    InterferenceCosts NONE =
            new InterferenceCosts() {
                @Override
                public int classNumber(String taskClass) {
                    return 0;
                }

                @Override
                public double cost(int serviceClass, int batchClass) {
                    return 0;
                }
            };

    /**
     * Returns the number of a task class, which does not change during the lifetime of this object.
     *
     * @param taskClass name of the class
     * @return the number
     */
    int classNumber(String taskClass);

    /**
     * Returns the learned cost of a pair of classes.
     *
     * @param serviceClass number of the service class
     * @param batchClass number of the batch class
     * @return cost from 0 (no interference observed) to 1
     */
    double cost(int serviceClass, int batchClass);
}
