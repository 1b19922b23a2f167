package org.knapweedbank.jobs.reservation;

/**
 * Plans reservations of room on VMs for waiting tasks that fit nowhere.
 *
 * <p>Small tasks use the resources of a VM as they become free, so that a large task never finds
 * enough of them. A reservation keeps what becomes free on one VM, where enough is expected first,
 * from less urgent tasks until the large task starts. Resources are kept for a task for at most
 * {@link ReservationSettings#maxHold} and then not for the same time.
 */
public final class ReservationPlanner {
    private final ReservationSettings mSettings;

    /**
     * Creates a planner.
     *
     * @param settings limits of reservations
     */
    public ReservationPlanner(ReservationSettings settings) {
        mSettings = settings;
    }

    /**
     * Makes a plan.
     *
     * @param input state of VMs and waiting tasks
     * @return the plan
     */
    public ReservationPlan plan(PlanInput input) {
        return new PlanRound(mSettings, input).run();
    }
}
