package org.knapweedbank.model;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class TaskIdTest {
    /** Guards against job ids with a slash being split at the wrong place. */
    @Test
    void parsesLastSlashAsSeparator() {
        TaskId id = TaskId.parse("team/job/3");
        assertThat(id).isEqualTo(new TaskId(new JobId("team/job"), 3));
        assertThat(TaskId.parse(id.toString())).isEqualTo(id);
    }

    /** Guards against a malformed identifier being accepted as a task. */
    @Test
    void rejectsTextWithoutIndex() {
        assertThrows(IllegalArgumentException.class, () -> TaskId.parse("job"));
        assertThrows(IllegalArgumentException.class, () -> TaskId.parse("/1"));
        assertThrows(IllegalArgumentException.class, () -> TaskId.parse("job/x"));
    }
}
