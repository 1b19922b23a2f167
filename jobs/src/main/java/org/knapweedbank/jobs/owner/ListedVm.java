package org.knapweedbank.jobs.owner;

import java.time.Duration;
import org.knapweedbank.jobs.WorkerId;

/**
 * A VM of the stored list.
 *
 * @param worker incarnation of the worker on which something may run
 * @param silence time in which owners, one after the other, have not heard from the VM; zero for a
 *     VM that the owner has heard from
 */
record ListedVm(WorkerId worker, Duration silence) {}
