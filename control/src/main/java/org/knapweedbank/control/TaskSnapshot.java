package org.knapweedbank.control;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.knapweedbank.model.Resources;

/**
 * State of a task as stored in a journal snapshot.
 *
 * @param index index of the task in its job
 * @param phase phase of the task
 * @param attempt number of the last attempt, 0 before the first
 * @param failures number of failed attempts
 * @param vm VM that holds the current attempt or on which the task finished, or empty
 * @param reserved resources that the attempt reserves on that VM
 * @param checkpoint reference of the last checkpoint, from which the next attempt resumes, or empty
 * @param detail reason of the last failure, or empty
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TaskSnapshot(
        int index,
        TaskPhase phase,
        int attempt,
        int failures,
        String vm,
        Resources reserved,
        String checkpoint,
        String detail) {}
