package org.knapweedbank.scheduling.task;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.VmId;

class TaskTransitionsTest {
    private static final VmId VM = new VmId("vm");
    private static final int MAX_FAILURES = 3;

    private static TaskLifecycle applyAll(TaskEvent... events) {
        TaskLifecycle state = new TaskLifecycle.Submitted();
        for (TaskEvent event : events) {
            TransitionResult result = TaskTransitions.apply(state, event);
            assertWithMessage(state + " + " + event)
                    .that(result)
                    .isInstanceOf(TransitionResult.Next.class);
            state = ((TransitionResult.Next) result).state();
        }
        return state;
    }

    private static TaskLifecycle stateAfterStart(TaskEvent... laterEvents) {
        List<TaskEvent> events =
                new java.util.ArrayList<>(
                        List.of(
                                new TaskEvent.Admit(),
                                new TaskEvent.Place(1, VM),
                                new TaskEvent.StartSent(1)));
        events.addAll(List.of(laterEvents));
        return applyAll(events.toArray(TaskEvent[]::new));
    }

    /** Guards against a refused start being lost or retried under the same attempt number. */
    @Test
    void refusedStartReturnsToTheQueueAsNextAttempt() {
        TaskLifecycle state = stateAfterStart(new TaskEvent.NotStarted(1, "permit expired"));
        assertThat(state).isEqualTo(new TaskLifecycle.Admitted(new TaskProgress(2, "", 0)));
        assertThat(TaskTransitions.apply(state, new TaskEvent.NotStarted(1, "permit expired")))
                .isInstanceOf(TransitionResult.NoEffect.class);
    }

    /** Guards against a duplicate checkpoint report resuming the task twice. */
    @Test
    void checkpointResumesOnce() {
        TaskLifecycle state =
                stateAfterStart(
                        new TaskEvent.AttemptRunning(1),
                        new TaskEvent.RequestCheckpoint(1, "urgent task"),
                        new TaskEvent.AttemptCheckpointed(1, "c1"),
                        new TaskEvent.Place(2, VM),
                        new TaskEvent.StartSent(2));
        assertThat(state)
                .isEqualTo(new TaskLifecycle.Resuming(new TaskProgress(2, "c1", 0), VM, ""));
        assertThat(TaskTransitions.apply(state, new TaskEvent.AttemptCheckpointed(1, "c1")))
                .isInstanceOf(TransitionResult.NoEffect.class);
    }

    /** Guards against treating a cancelled task as ended while its attempt may be running. */
    @Test
    void cancellationWaitsForTheEndOfTheAttempt() {
        TaskEvent cancel = new TaskEvent.RequestCancel("operator");
        TaskLifecycle.Cancelled cancelled =
                new TaskLifecycle.Cancelled(new TaskProgress(1, "", 0), "operator");
        assertThat(stateAfterStart(cancel).ended()).isFalse();
        assertThat(stateAfterStart(cancel, new TaskEvent.NotStarted(1, "late")))
                .isEqualTo(cancelled);
        assertThat(
                        stateAfterStart(
                                new TaskEvent.AttemptCheckpointing(1),
                                cancel,
                                new TaskEvent.AttemptCheckpointed(1, "c1")))
                .isEqualTo(cancelled);
        assertThat(stateAfterStart(cancel, new TaskEvent.AttemptFinished(1)))
                .isEqualTo(new TaskLifecycle.Finished(new TaskProgress(1, "", 0), VM));
    }

    /** Guards against applying impossible events silently. */
    @Test
    void rejectsImpossibleEvents() {
        TaskLifecycle running = stateAfterStart(new TaskEvent.AttemptRunning(1));
        for (TaskEvent event :
                List.of(
                        new TaskEvent.Admit(),
                        new TaskEvent.Reject("too large"),
                        new TaskEvent.Place(1, VM),
                        new TaskEvent.StartSent(1),
                        new TaskEvent.NotStarted(1, "contradicts the earlier report"),
                        new TaskEvent.AttemptFinished(2))) {
            assertWithMessage(event.toString())
                    .that(TaskTransitions.apply(running, event))
                    .isInstanceOf(TransitionResult.Impossible.class);
        }
    }

    /** Events in any order, for attempts that are replaced, current or not yet created. */
    @Provide
    Arbitrary<List<TaskEvent>> sequences() {
        List<IntFunction<TaskEvent>> kinds =
                List.of(
                        attempt -> new TaskEvent.Place(attempt, VM),
                        TaskEvent.WithdrawPlacement::new,
                        TaskEvent.StartSent::new,
                        attempt -> new TaskEvent.RequestCheckpoint(attempt, "test"),
                        attempt -> new TaskEvent.NotStarted(attempt, "test"),
                        TaskEvent.AttemptRunning::new,
                        TaskEvent.AttemptCheckpointing::new,
                        attempt -> new TaskEvent.AttemptCheckpointed(attempt, "c" + attempt),
                        TaskEvent.AttemptFinished::new,
                        attempt -> new TaskEvent.AttemptFailed(attempt, "test", MAX_FAILURES),
                        TaskEvent.AttemptStopped::new,
                        TaskEvent.AttemptLost::new,
                        attempt -> new TaskEvent.RequestCancel("test"));
        Arbitrary<TaskEvent> event =
                Combinators.combine(Arbitraries.of(kinds), Arbitraries.integers().between(1, 4))
                        .as((kind, attempt) -> kind.apply(attempt));
        return event.list().ofMinSize(10).ofMaxSize(80);
    }

    /**
     * Compares the transitions with a reference model that tracks the current attempt, whether it
     * may be running, and how the task ended. Guards against two active attempts, a second
     * completion, a second use of a checkpoint report, and changes after the final state.
     */
    @Property(tries = 2_000, seed = "20261204")
    void agreesWithReferenceModel(@ForAll("sequences") List<TaskEvent> events) {
        TaskLifecycle state = applyAll(new TaskEvent.Admit());
        Set<Integer> startedAttempts = new HashSet<>();
        Set<Integer> endedAttempts = new HashSet<>();
        int finishedCount = 0;
        for (TaskEvent event : events) {
            TaskLifecycle before = state;
            if (TaskTransitions.apply(state, event) instanceof TransitionResult.Next next) {
                state = next.state();
            }
            assertThat(before.ended() && !state.equals(before)).isFalse();
            assertThat(state.attempt()).isAtLeast(before.attempt());
            if (event instanceof TaskEvent.AttemptReport report
                    && report.attempt() != before.attempt()) {
                assertThat(state).isEqualTo(before);
            }
            boolean wasActive = before instanceof TaskLifecycle.Active;
            boolean isActive = state instanceof TaskLifecycle.Active;
            if (!wasActive && isActive) {
                assertThat(startedAttempts.add(state.attempt())).isTrue();
                assertThat(state instanceof TaskLifecycle.Resuming)
                        .isEqualTo(!state.progress().checkpoint().isEmpty());
            }
            if (wasActive && !isActive) {
                assertThat(event).isInstanceOf(TaskEvent.AttemptReport.class);
                assertThat(endedAttempts.add(before.attempt())).isTrue();
            }
            finishedCount += state instanceof TaskLifecycle.Finished && !before.ended() ? 1 : 0;
            assertThat(startedAttempts.size() - endedAttempts.size()).isEqualTo(isActive ? 1 : 0);
            assertThat(finishedCount).isAtMost(1);
            assertThat(state.progress().failures()).isAtMost(MAX_FAILURES);
        }
    }
}
