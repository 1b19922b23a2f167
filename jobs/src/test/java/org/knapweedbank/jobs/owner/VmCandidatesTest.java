package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.StepTraits;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.time.ManualClock;

/** Tests the rating of VMs for a whole step against the selection for each of its tasks. */
class VmCandidatesTest {
    private static final int VMS = 12;
    private static final int TASKS = 40;
    private static final StepTraits FILLER = new StepTraits(true, false, false, false, true);

    private final PressureEstimator mPressureEstimator = new PressureEstimator();

    private List<Vm> vms(long seed) {
        Random random = new Random(seed);
        return IntStream.range(0, VMS)
                .mapToObj(
                        i -> {
                            Vm vm =
                                    new Vm(
                                            new DaemonId("vm" + i),
                                            OwnerFixture.DATA_CENTRE,
                                            new ManualClock(Instant.EPOCH));
                            long milliCpu = 4_000 + random.nextInt(12_000);
                            vm.replaceWorker(OwnerFixture.worker("vm" + i, 1, milliCpu, false));
                            return vm;
                        })
                .toList();
    }

    private Step step(StepSpec spec) {
        Job job = new OwnerFixture().submit("a", spec);
        return job.mOccurrences.getFirst().mSteps.getFirst();
    }

    /** Guards against a task that starts on a VM other than the best one, or on a full one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void tasksGoWhereTheSelectionForEachWouldPutThem(long seed) {
        StepTraits traits = seed % 2 == 0 ? StepTraits.BATCH : FILLER;
        Step step = step(OwnerFixture.step(TASKS, 1_700, traits));
        List<Vm> vms = vms(seed);
        VmCandidates candidates =
                new VmCandidates(
                        step.mTasks.getFirst(),
                        vms,
                        FillerRequirement.REDUCED_SPEED,
                        mPressureEstimator);
        int started = 0;
        for (Task task : step.mTasks) {
            var selected =
                    VmSelector.select(
                            task, vms, FillerRequirement.REDUCED_SPEED, mPressureEstimator);
            assertThat(candidates.best()).isEqualTo(selected);
            if (selected.isEmpty()) {
                break;
            }
            started++;
            selected.get().add(new Run(task, selected.get(), 1, 0));
            candidates.update(task, selected.get());
        }
        assertThat(started).isGreaterThan(VMS);
    }
}
