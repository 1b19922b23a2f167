package org.knapweedbank.model;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class TaskIdTest {
    /** Fails if a job identifier that contains a slash is split at that slash. */
    @Test
    void parseSplitsAtLastSlash() {
        TaskId id = TaskId.parse("team/job/3");
        assertThat(id).isEqualTo(new TaskId(new JobId("team/job"), 3));
        assertThat(TaskId.parse(id.toString())).isEqualTo(id);
    }

    /** Fails if a malformed task identifier is accepted. */
    @Test
    void parseRejectsMissingJobOrIndex() {
        assertThrows(IllegalArgumentException.class, () -> TaskId.parse("job"));
        assertThrows(IllegalArgumentException.class, () -> TaskId.parse("/1"));
        assertThrows(IllegalArgumentException.class, () -> TaskId.parse("job/x"));
    }
}
