package org.knapweedbank.standin;

import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;

/**
 * Start or end of an attempt, as recorded by a simulated worker.
 *
 * @param kind {@code start}, or {@code end}
 * @param atMillis wall-clock time of the event in milliseconds since 1970
 * @param vm VM of the worker
 * @param dataCentre data centre of the VM
 * @param task the task
 * @param attempt attempt number
 * @param state name of the attempt's state after the event
 * @param progressMillis run time that the task has completed so far, over all its attempts, in
 *     milliseconds without throttling
 * @param detail for a start, the checkpoint to resume from, or empty; for an end, the detail of
 *     {@link org.knapweedbank.worker.TaskStatus}
 */
public record ExecutionEvent(
        String kind,
        long atMillis,
        VmId vm,
        DataCentreId dataCentre,
        TaskId task,
        int attempt,
        String state,
        long progressMillis,
        String detail) {}
