package org.knapweedbank.jobs;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.Resources;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** MessagePack codec of submissions, used in the store and in messages between daemons. */
public final class SubmissionCodec {
    private SubmissionCodec() {}

    /**
     * Packs a submission.
     *
     * @param packer packer that receives the bytes
     * @param submission the submission
     * @throws IOException when the packer fails
     */
    public static void pack(MessagePacker packer, JobSubmission submission) throws IOException {
        packer.packString(submission.id().value());
        packer.packString(submission.spec());
        Timetable timetable = submission.timetable();
        packer.packLong(timetable.first().toEpochMilli());
        packer.packLong(timetable.interval().toMillis());
        packer.packInt(timetable.occurrences());
        packer.packArrayHeader(submission.steps().size());
        for (StepSpec step : submission.steps()) {
            packStep(packer, step);
        }
    }

    /**
     * Unpacks a submission.
     *
     * @param in unpacker positioned at the submission
     * @return the submission
     * @throws IOException when the bytes are not a submission
     */
    public static JobSubmission unpack(MessageUnpacker in) throws IOException {
        JobId id = new JobId(in.unpackString());
        String spec = in.unpackString();
        Timetable timetable =
                new Timetable(
                        Instant.ofEpochMilli(in.unpackLong()),
                        Duration.ofMillis(in.unpackLong()),
                        in.unpackInt());
        int count = in.unpackArrayHeader();
        List<StepSpec> steps = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            steps.add(unpackStep(in));
        }
        return new JobSubmission(id, spec, steps, timetable);
    }

    private static void packStep(MessagePacker packer, StepSpec step) throws IOException {
        packer.packInt(step.count());
        packer.packLong(step.perTask().milliCpu());
        packer.packLong(step.perTask().memoryMb());
        packer.packInt(step.perTask().accelerators());
        packer.packLong(step.estimate().toMillis());
        packer.packArrayHeader(step.after().size());
        for (int number : step.after()) {
            packer.packInt(number);
        }
        StepTraits traits = step.traits();
        packer.packBoolean(traits.checkpointing());
        packer.packBoolean(traits.gang());
        packer.packBoolean(traits.speculative());
        packer.packBoolean(traits.longRunning());
        packer.packBoolean(traits.filler());
        PlacementRule rule = step.placement();
        packer.packString(rule.requiredLabel());
        packer.packString(rule.preferredRack());
        packer.packBoolean(rule.sameRack());
        packer.packInt(rule.maxPerVm());
        packer.packString(step.image());
        packer.packLong(step.latencyObjective().toMillis());
        packer.packInt(step.disruptionBudget());
    }

    private static StepSpec unpackStep(MessageUnpacker in) throws IOException {
        int count = in.unpackInt();
        Resources perTask = new Resources(in.unpackLong(), in.unpackLong(), in.unpackInt());
        Duration estimate = Duration.ofMillis(in.unpackLong());
        int dependencies = in.unpackArrayHeader();
        List<Integer> after = new ArrayList<>();
        for (int i = 0; i < dependencies; i++) {
            after.add(in.unpackInt());
        }
        StepTraits traits =
                new StepTraits(
                        in.unpackBoolean(),
                        in.unpackBoolean(),
                        in.unpackBoolean(),
                        in.unpackBoolean(),
                        in.unpackBoolean());
        PlacementRule rule =
                new PlacementRule(
                        in.unpackString(), in.unpackString(), in.unpackBoolean(), in.unpackInt());
        return new StepSpec(
                count,
                perTask,
                estimate,
                after,
                traits,
                rule,
                in.unpackString(),
                Duration.ofMillis(in.unpackLong()),
                in.unpackInt());
    }
}
