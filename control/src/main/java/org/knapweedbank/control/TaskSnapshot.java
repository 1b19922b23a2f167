package org.knapweedbank.control;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.knapweedbank.model.Resources;

/**
 * State of a task in a snapshot.
 *
 * @param index position in the job
 * @param phase its phase
 * @param attempt number of the last attempt, 0 before the first
 * @param failures number of failed attempts
 * @param vm VM of the attempt that is placed, or empty
 * @param reserved resources reserved for it there
 * @param checkpoint reference of the last checkpoint, or empty
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
