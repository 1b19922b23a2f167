package org.knapweedbank.scheduling.placement;

/** Numbers for task classes and the cost of placing two classes on one VM. */
public interface InterferenceCosts {
    /** Costs that are always zero, with one number for all classes. */
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
     * Number of a class; stays the same for the lifetime of the object.
     *
     * @param taskClass the class
     * @return a small number
     */
    int classNumber(String taskClass);

    /**
     * Learned cost of a pair.
     *
     * @param serviceClass number of the service's class
     * @param batchClass number of the batch task's class
     * @return cost from 0 (none observed) to 1
     */
    double cost(int serviceClass, int batchClass);
}
