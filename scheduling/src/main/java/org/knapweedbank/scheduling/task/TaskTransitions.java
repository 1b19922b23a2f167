package org.knapweedbank.scheduling.task;

import org.knapweedbank.scheduling.task.TaskLifecycle.Active;
import org.knapweedbank.scheduling.task.TaskLifecycle.Admitted;
import org.knapweedbank.scheduling.task.TaskLifecycle.Cancelled;
import org.knapweedbank.scheduling.task.TaskLifecycle.Checkpointing;
import org.knapweedbank.scheduling.task.TaskLifecycle.Failed;
import org.knapweedbank.scheduling.task.TaskLifecycle.Finished;
import org.knapweedbank.scheduling.task.TaskLifecycle.Placed;
import org.knapweedbank.scheduling.task.TaskLifecycle.Resuming;
import org.knapweedbank.scheduling.task.TaskLifecycle.Running;
import org.knapweedbank.scheduling.task.TaskLifecycle.Starting;
import org.knapweedbank.scheduling.task.TaskLifecycle.Submitted;
import org.knapweedbank.scheduling.task.TransitionResult.Impossible;
import org.knapweedbank.scheduling.task.TransitionResult.Next;
import org.knapweedbank.scheduling.task.TransitionResult.NoEffect;

/**
 * Transition function of the task life cycle.
 *
 * <p>Only reports about the current attempt change the state. If an attempt ends without completing
 * the task, at most one next attempt follows, so a checkpoint is used by one attempt at a time. It
 * is used again only after the attempt that resumed from it has ended without a newer checkpoint.
 * If the attempt of a task with a requested cancellation completes before it is stopped, the task
 * is finished, because the work has been done.
 */
public final class TaskTransitions {
    private TaskTransitions() {}

    /**
     * Applies an event to a state.
     *
     * @param state the current state
     * @param event the event to apply
     * @return the next state, or the reason why the event has no effect or is impossible
     */
    public static TransitionResult apply(TaskLifecycle state, TaskEvent event) {
        return switch (event) {
            case TaskEvent.Admit admit ->
                    state instanceof Submitted
                            ? new Next(new Admitted(TaskProgress.NONE.nextAttempt()))
                            : impossible(state, event);
            case TaskEvent.Reject reject -> applyReject(state, reject);
            case TaskEvent.Place place -> applyPlace(state, place);
            case TaskEvent.WithdrawPlacement withdraw ->
                    state instanceof Placed && state.attempt() == withdraw.attempt()
                            ? new Next(new Admitted(state.progress().nextAttempt()))
                            : staleOrImpossible(state, withdraw.attempt(), event);
            case TaskEvent.StartSent sent -> applyStartSent(state, sent);
            case TaskEvent.RequestCheckpoint request -> applyCheckpointRequest(state, request);
            case TaskEvent.RequestCancel cancel -> applyCancelRequest(state, cancel);
            case TaskEvent.AttemptReport report -> applyReport(state, report);
        };
    }

    private static TransitionResult applyReject(TaskLifecycle state, TaskEvent.Reject event) {
        return state instanceof Submitted || state instanceof Admitted
                ? new Next(new Failed(state.progress(), event.reason()))
                : impossible(state, event);
    }

    private static TransitionResult applyPlace(TaskLifecycle state, TaskEvent.Place event) {
        return state instanceof Admitted && state.attempt() == event.attempt()
                ? new Next(new Placed(state.progress(), event.vm()))
                : impossible(state, event);
    }

    private static TransitionResult applyStartSent(TaskLifecycle state, TaskEvent.StartSent event) {
        if (!(state instanceof Placed placed) || state.attempt() != event.attempt()) {
            return staleOrImpossible(state, event.attempt(), event);
        }
        TaskProgress progress = placed.progress();
        return new Next(
                progress.checkpoint().isEmpty()
                        ? new Starting(progress, placed.vm(), "")
                        : new Resuming(progress, placed.vm(), ""));
    }

    private static TransitionResult applyCheckpointRequest(
            TaskLifecycle state, TaskEvent.RequestCheckpoint event) {
        if (!(state instanceof Active active) || state.attempt() != event.attempt()) {
            return staleOrImpossible(state, event.attempt(), event);
        }
        return active instanceof Checkpointing
                ? new NoEffect("a checkpoint of this attempt has already been requested")
                : new Next(checkpointing(active, event.reason()));
    }

    private static TransitionResult applyCancelRequest(
            TaskLifecycle state, TaskEvent.RequestCancel event) {
        String reason = event.reason().isEmpty() ? "cancelled" : event.reason();
        return switch (state) {
            case Submitted submitted -> new Next(new Cancelled(submitted.progress(), reason));
            case Admitted admitted -> new Next(new Cancelled(admitted.progress(), reason));
            case Placed placed -> new Next(new Cancelled(placed.progress(), reason));
            case Active active ->
                    active.cancelReason().isEmpty()
                            ? new Next(active.withCancellation(reason))
                            : new NoEffect("the cancellation has already been requested");
            case Finished finished -> new NoEffect("the task has finished");
            case Failed failed -> new NoEffect("the task has failed");
            case Cancelled cancelled -> new NoEffect("the task has been cancelled");
        };
    }

    private static TransitionResult applyReport(
            TaskLifecycle state, TaskEvent.AttemptReport report) {
        if (report.attempt() != state.attempt()) {
            return staleOrImpossible(state, report.attempt(), report);
        }
        return switch (state) {
            case Active active -> applyReportToActive(active, report);
            case Placed placed ->
                    report instanceof TaskEvent.AttemptLost
                            ? new Next(new Admitted(placed.progress().nextAttempt()))
                            : impossible(state, report);
            case Submitted submitted -> impossible(state, report);
            case Admitted admitted -> impossible(state, report);
            case Finished finished -> new NoEffect("the task has finished");
            case Failed failed -> new NoEffect("the task has failed");
            case Cancelled cancelled -> new NoEffect("the task has been cancelled");
        };
    }

    private static TransitionResult applyReportToActive(
            Active state, TaskEvent.AttemptReport report) {
        TaskProgress progress = state.progress();
        return switch (report) {
            case TaskEvent.NotStarted refused ->
                    state instanceof Running
                            ? impossible(state, report)
                            : nextUnlessCancelled(state, new Admitted(progress.nextAttempt()));
            case TaskEvent.AttemptRunning running ->
                    state instanceof Starting || state instanceof Resuming
                            ? new Next(new Running(progress, state.vm(), state.cancelReason()))
                            : new NoEffect("the attempt is already known to be running");
            case TaskEvent.AttemptCheckpointing writing ->
                    state instanceof Checkpointing
                            ? new NoEffect(
                                    "the attempt is already known to be writing a checkpoint")
                            : new Next(checkpointing(state, "requested by the agent"));
            case TaskEvent.AttemptCheckpointed checkpointed ->
                    nextUnlessCancelled(
                            state, new Admitted(progress.nextFrom(checkpointed.checkpoint())));
            case TaskEvent.AttemptFinished finished -> new Next(new Finished(progress, state.vm()));
            case TaskEvent.AttemptFailed failed ->
                    nextUnlessCancelled(state, afterFailure(progress, failed));
            case TaskEvent.AttemptStopped stopped ->
                    nextUnlessCancelled(state, new Admitted(progress.nextAttempt()));
            case TaskEvent.AttemptLost lost ->
                    nextUnlessCancelled(state, new Admitted(progress.nextAttempt()));
        };
    }

    private static TaskLifecycle afterFailure(
            TaskProgress progress, TaskEvent.AttemptFailed failed) {
        return progress.failures() + 1 >= failed.maxFailures()
                ? new Failed(
                        new TaskProgress(
                                progress.attempt(), progress.checkpoint(), progress.failures() + 1),
                        failed.reason())
                : new Admitted(progress.nextAfterFailure());
    }

    private static TransitionResult nextUnlessCancelled(Active state, TaskLifecycle next) {
        return new Next(
                state.cancelReason().isEmpty()
                        ? next
                        : new Cancelled(state.progress(), state.cancelReason()));
    }

    private static Checkpointing checkpointing(Active state, String reason) {
        return new Checkpointing(state.progress(), state.vm(), reason, state.cancelReason());
    }

    private static TransitionResult staleOrImpossible(
            TaskLifecycle state, int attempt, TaskEvent event) {
        if (attempt < state.attempt()) {
            return new NoEffect(
                    "attempt " + attempt + " has been replaced by attempt " + state.attempt());
        }
        return state.ended() && attempt == state.attempt()
                ? new NoEffect("the task has ended")
                : impossible(state, event);
    }

    private static Impossible impossible(TaskLifecycle state, TaskEvent event) {
        return new Impossible(
                event.getClass().getSimpleName()
                        + " cannot happen to a task that is "
                        + state.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT)
                        + " with attempt "
                        + state.attempt());
    }
}
