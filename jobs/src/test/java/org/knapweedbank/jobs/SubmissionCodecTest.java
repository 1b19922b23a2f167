package org.knapweedbank.jobs;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.Resources;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Tests of the codec and the validation of submissions. */
class SubmissionCodecTest {
    private static StepSpec step(List<Integer> after) {
        return new StepSpec(
                3,
                new Resources(500, 64, 1),
                Duration.ofMillis(900),
                after,
                new StepTraits(true, false, true, false, true),
                new PlacementRule("label", "rack", true, 2),
                "image",
                Duration.ofMillis(40),
                1);
    }

    /**
     * Guards against a field that the codec does not transfer between two processes or to and from
     * the store.
     */
    @Test
    void submissionSurvivesARoundTrip() throws IOException {
        JobSubmission submission =
                new JobSubmission(
                        new JobId("5c0e7a21d94b36f8"),
                        "text",
                        List.of(step(List.of()), step(List.of(0))),
                        new Timetable(Instant.ofEpochMilli(5), Duration.ofMillis(7), 3));
        MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        SubmissionCodec.pack(packer, submission);
        JobSubmission read =
                SubmissionCodec.unpack(MessagePack.newDefaultUnpacker(packer.toByteArray()));
        assertThat(read).isEqualTo(submission);
    }

    /** Guards against a step that waits for itself, so that its job never completes. */
    @Test
    void stepMustNotDependOnItself() {
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new JobSubmission(
                                new JobId("a"), "", List.of(step(List.of(0))), Timetable.ONCE));
    }
}
