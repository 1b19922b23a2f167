package org.knapweedbank.jobs.owner;

import java.time.Duration;
import org.knapweedbank.jobs.WorkerId;

/**
 * A VM in the stored list.
 *
 * @param worker incarnation of the worker that may run tasks
 * @param unreachableFor total time in which successive owners had no contact with the VM; zero for
 *     a VM that has reported to the owner
 */
record ListedVm(WorkerId worker, Duration unreachableFor) {}
