package org.knapweedbank.agent;

import org.knapweedbank.model.TaskId;

/** Identifier of an attempt of a task. */
record AttemptId(TaskId task, int attempt) {
    @Override
    public String toString() {
        return task + "#" + attempt;
    }
}
