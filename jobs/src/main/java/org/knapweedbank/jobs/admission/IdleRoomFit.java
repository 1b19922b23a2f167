package org.knapweedbank.jobs.admission;

/** How much of a new job could start now on room that no waiting task can use. */
public enum IdleRoomFit {
    /** Some step could start no task. */
    NONE,

    /** Each step could start a task, but not each step all of its tasks. */
    SOME_TASKS,

    /** Each step could start all of its tasks. */
    ALL_TASKS
}
