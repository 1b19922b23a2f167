package org.knapweedbank.jobs.reservation;

import java.util.List;
import java.util.Map;

/**
 * What a plan of reservations is made from.
 *
 * @param now monotonic time in milliseconds
 * @param vms VMs that may get start orders now
 * @param waiting waiting tasks that fit on no VM, the most urgent first
 * @param previous reservations of the last plan that have not been used
 * @param pausedUntil monotonic time in milliseconds before which a step gets no new reservation
 */
public record PlanInput(
        long now,
        List<VmRoom> vms,
        List<WaitingStep> waiting,
        List<Reservation> previous,
        Map<StepKey, Long> pausedUntil) {}
