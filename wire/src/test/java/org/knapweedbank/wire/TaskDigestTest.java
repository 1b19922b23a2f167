package org.knapweedbank.wire;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

class TaskDigestTest {
    private static final TaskId TASK = TaskId.parse("job/1");

    /** Fails if the agent and the owner can compute different digests for the same attempts. */
    @Test
    void digestIsIndependentOfOrderAndIgnoresEndedAttempts() {
        TaskHeld first = held(1, TaskReportState.RUNNING);
        TaskHeld second = held(2, TaskReportState.CHECKPOINTING);
        TaskHeld ended = held(3, TaskReportState.FINISHED);
        long digest = TaskDigest.of(List.of(first, second));
        assertThat(TaskDigest.of(List.of(ended, second, first))).isEqualTo(digest);
        assertThat(digest).isEqualTo(TaskDigest.of(TASK, 1) + TaskDigest.of(TASK, 2));
        assertThat(TaskDigest.of(List.of(first))).isNotEqualTo(digest);
        assertThat(TaskDigest.of(List.of(ended))).isEqualTo(TaskDigest.EMPTY);
    }

    private static TaskHeld held(int attempt, TaskReportState state) {
        return new TaskHeld(TASK, attempt, Resources.NONE, state, "");
    }
}
