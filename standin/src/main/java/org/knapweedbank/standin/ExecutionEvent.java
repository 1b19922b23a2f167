package org.knapweedbank.standin;

import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;

/**
 * Start or end of an attempt, as recorded by a worker stand-in.
 *
 * @param kind {@code start}, or {@code end}
 * @param atMillis wall time in milliseconds since 1970
 * @param vm the VM
 * @param dataCentre its data centre
 * @param task the task
 * @param attempt attempt number
 * @param state state after the event
 * @param progressMillis progress in milliseconds of run time
 * @param detail checkpoint that a start resumes from, or detail of an end
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
