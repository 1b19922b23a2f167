package org.knapweedbank.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;

class PartitionSchedulerTest {
    private final SchedulerFixture mFixture = new SchedulerFixture();
    private final PartitionScheduler mScheduler = mFixture.mScheduler;

    private static SchedulingDecision.NeverFits onlyNeverFits(List<SchedulingDecision> decisions) {
        assertThat(decisions).hasSize(1);
        return (SchedulingDecision.NeverFits) decisions.getFirst();
    }

    /** Guards against a task that is too large for all VMs waiting forever or delaying others. */
    @Test
    void reportsTaskThatNeverFitsAndPlacesOthers() {
        mFixture.addVm("a", "d1", 4);
        mFixture.enqueue(mFixture.batchTask("large", 0, 8));
        mFixture.enqueue(mFixture.batchTask("small", 0, 1));
        List<SchedulingDecision> decisions = mFixture.schedule();
        assertThat(decisions).hasSize(2);
        assertThat(((SchedulingDecision.NeverFits) decisions.get(0)).reason())
                .contains("8 cores against 4 cores");
        assertThat(decisions.get(1)).isInstanceOf(SchedulingDecision.Place.class);
        assertThat(mFixture.schedule()).isEmpty();
    }

    /** Guards against rejecting a job whose VMs are only temporarily absent. */
    @Test
    void waitsWhileLargeVmsAreAbsentOrOutOfService() {
        mFixture.enqueue(mFixture.batchTask("job", 0, 8));
        assertThat(mFixture.schedule()).isEmpty();
        assertThat(mScheduler.explain(new JobId("job"))).contains("No VM of the partition");
        mScheduler.setAllVmsRegistered(false);
        mFixture.addVm("small", "d1", 4);
        assertThat(mFixture.schedule()).isEmpty();
        VmId large = mFixture.addVm("large", "d2", 8);
        mScheduler.setAllVmsRegistered(true);
        mScheduler.setOutOfServiceDataCentres(Set.of(new DataCentreId("d2")));
        assertThat(mFixture.schedule()).isEmpty();
        assertThat(mScheduler.explain(new JobId("job"))).contains("take a data centre back in: d2");
        mScheduler.removeVm(large);
        assertThat(mFixture.schedule()).isEmpty();
        mFixture.advance(SchedulerSettings.defaults().capacityRetention().plusSeconds(1));
        mFixture.addVm("other", "d1", 4);
        assertThat(onlyNeverFits(mFixture.schedule()).reason()).contains("8 cores against 4 cores");
    }

    /** Guards against placing tasks on VMs that accept no tasks. */
    @Test
    void excludesRemovedDataCentresAndUnschedulableVms() {
        mFixture.addVm("a", "d1", 4);
        VmId b = mFixture.addVm("b", "d2", 4);
        mScheduler.setOutOfServiceDataCentres(Set.of(new DataCentreId("d1")));
        mScheduler.setSchedulable(b, false);
        PendingTask task = mFixture.enqueue(mFixture.batchTask("job", 0, 1));
        assertThat(mFixture.schedule()).isEmpty();
        mScheduler.setSchedulable(b, true);
        mFixture.schedule();
        assertThat(mFixture.vmOf(task)).isEqualTo(b);
    }

    /**
     * Guards against moving running tasks to a data centre that is back in service, and against new
     * tasks not being placed after its return.
     */
    @Test
    void returningDataCentreTakesOnlyNewTasks() {
        for (String dataCentre : List.of("d1", "d2")) {
            mFixture.addVm("x" + dataCentre, dataCentre, 8);
            mFixture.addVm("y" + dataCentre, dataCentre, 8);
        }
        mScheduler.setOutOfServiceDataCentres(Set.of(new DataCentreId("d1")));
        for (int i = 0; i < 10; i++) {
            mFixture.enqueue(mFixture.batchTask("old", i, 1));
        }
        assertThat(mFixture.placements()).hasSize(10);
        mScheduler.setOutOfServiceDataCentres(Set.of());
        assertThat(mFixture.schedule()).isEmpty();
        for (int i = 0; i < 10; i++) {
            mFixture.enqueue(mFixture.batchTask("new", i, 1));
        }
        assertThat(mFixture.placements()).hasSize(10);
    }

    /** Guards against losing all replicas of a service with one rack or data centre. */
    @Test
    void spreadsServicesOverDataCentresAndRacks() {
        List<PendingTask> replicas = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            mFixture.addVm("v" + i, "d" + i % 3, 8);
            replicas.add(mFixture.task("svc", i, "team", JobKind.SERVICE, 1, false));
        }
        replicas.forEach(mFixture::enqueue);
        mFixture.schedule();
        Set<VmId> vms = new HashSet<>();
        replicas.forEach(replica -> vms.add(mFixture.vmOf(replica)));
        assertThat(vms).hasSize(9);
    }

    /** Guards against placing batch tasks that need no accelerators on VMs that have some. */
    @Test
    void keepsAcceleratorVmsFree() {
        mScheduler.putVm(
                new VmDescription(
                        new VmId("gpu"),
                        new DataCentreId("d1"),
                        "r",
                        new Resources(4_000, 4_096, 1)));
        mFixture.addVm("cpu", "d1", 16);
        PendingTask task = mFixture.enqueue(mFixture.batchTask("job", 0, 4));
        mFixture.schedule();
        assertThat(mFixture.vmOf(task)).isEqualTo(new VmId("cpu"));
    }

    /**
     * Guards against a wrong order of teams: within the deserved share first, then by priority,
     * then by weight.
     */
    @Test
    void servesDeservedThenPriorityThenWeight() {
        mFixture.addVm("a", "d1", 12);
        mScheduler.setQuotas(
                Map.of(
                        "deserving", new TeamQuota(SchedulerFixture.cores(2), 1, 0),
                        "prior", new TeamQuota(Resources.NONE, 1, 5),
                        "heavy", new TeamQuota(Resources.NONE, 3, 0),
                        "light", new TeamQuota(Resources.NONE, 1, 0)));
        for (int i = 0; i < 8; i++) {
            for (String team : List.of("heavy", "light")) {
                mFixture.enqueue(mFixture.task(team, i, team, JobKind.BATCH, 1, false));
            }
        }
        for (int i = 0; i < 2; i++) {
            mFixture.enqueue(mFixture.task("prior", i, "prior", JobKind.BATCH, 1, false));
            mFixture.enqueue(mFixture.task("deserving", i, "deserving", JobKind.BATCH, 1, false));
        }
        List<String> placed = mFixture.placements();
        assertThat(placed.subList(0, 4))
                .containsExactly("deserving/0", "deserving/1", "prior/0", "prior/1")
                .inOrder();
        assertThat(placed.stream().filter(id -> id.startsWith("heavy")).count()).isEqualTo(6);
        assertThat(placed.stream().filter(id -> id.startsWith("light")).count()).isEqualTo(2);
    }

    /** Guards against capacity freed for an urgent task being given to another task. */
    @Test
    void preemptsAndKeepsTheFreedCapacity() {
        mFixture.addVm("a", "d1", 4);
        mScheduler.setQuotas(Map.of("within", new TeamQuota(SchedulerFixture.cores(4), 1, 0)));
        PendingTask withinQuota =
                mFixture.enqueue(mFixture.task("w", 0, "within", JobKind.BATCH, 2, false));
        PendingTask overQuota =
                mFixture.enqueue(mFixture.task("o", 0, "over", JobKind.BATCH, 2, false));
        assertThat(mFixture.placements()).hasSize(2);
        mFixture.enqueue(mFixture.task("w", 1, "within", JobKind.BATCH, 2, false));
        PendingTask urgent =
                mFixture.enqueue(mFixture.task("u", 0, "over", JobKind.BATCH, 2, true));
        assertThat(mFixture.schedule())
                .containsExactly(
                        new SchedulingDecision.Preempt(overQuota.id(), new VmId("a"), urgent.id()));
        assertThat(mScheduler.explain(new JobId("u"))).contains("write their checkpoints");
        mScheduler.release(overQuota.id());
        mScheduler.enqueue(overQuota);
        assertThat(mFixture.placements()).containsExactly("u/0");
        mScheduler.release(withinQuota.id());
        assertThat(mFixture.placements()).containsExactly("w/1");
    }

    /**
     * Guards against an urgent task waiting forever for a VM that was lost or victims that do not
     * end.
     */
    @Test
    void choosesOtherVictimsWhenTheVmIsLostOrTheCheckpointIsSlow() {
        VmId a = mFixture.addVm("a", "d1", 2);
        mFixture.enqueue(mFixture.batchTask("old", 0, 2));
        mFixture.schedule();
        PendingTask urgent =
                mFixture.enqueue(mFixture.task("u", 0, "team", JobKind.BATCH, 2, true));
        assertThat(mFixture.schedule()).hasSize(1);
        mFixture.addVm("b", "d1", 2);
        PendingTask second = mFixture.batchTask("old", 1, 2);
        mScheduler.adopt(second, new VmId("b"));
        mFixture.advance(SchedulerSettings.defaults().reservationTimeout());
        assertThat(mFixture.schedule())
                .containsExactly(
                        new SchedulingDecision.Preempt(second.id(), new VmId("b"), urgent.id()));
        mScheduler.removeVm(new VmId("b"));
        mScheduler.release(second.id());
        assertThat(mFixture.schedule()).isEmpty();
        mScheduler.release(mFixture.batchTask("old", 0, 2).id());
        mFixture.schedule();
        assertThat(mFixture.vmOf(urgent)).isEqualTo(a);
    }

    /**
     * Guards against allocations, reservations or queue entries that remain after many
     * cancellations.
     */
    @Test
    void freesAllCapacityAfterMassCancellation() {
        mFixture.addVm("a", "d1", 100);
        List<PendingTask> tasks = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            tasks.add(mFixture.enqueue(mFixture.batchTask("job", i, 1)));
        }
        assertThat(mFixture.placements()).hasSize(100);
        mFixture.enqueue(mFixture.task("u", 0, "team", JobKind.BATCH, 3, true));
        assertThat(mFixture.schedule()).hasSize(3);
        mScheduler.dequeue(mFixture.task("u", 0, "team", JobKind.BATCH, 3, true).id());
        for (PendingTask task : tasks) {
            mScheduler.dequeue(task.id());
            mScheduler.release(task.id());
        }
        assertThat(mScheduler.explain(new JobId("job"))).isEqualTo("No task of job job waits.");
        mFixture.enqueue(mFixture.batchTask("next", 0, 100));
        assertThat(mFixture.placements()).containsExactly("next/0");
    }

    /** Guards against placing a task again while its previous attempt holds resources. */
    @Test
    void placesTaskAgainOnlyAfterRelease() {
        mFixture.addVm("a", "d1", 4);
        PendingTask task = mFixture.enqueue(mFixture.batchTask("job", 0, 1));
        mFixture.schedule();
        mScheduler.enqueue(task);
        assertThat(mFixture.schedule()).isEmpty();
        mScheduler.release(task.id());
        assertThat(mFixture.placements()).containsExactly("job/0");
    }

    /** Guards against ignoring CPU corrections, and against reserving less memory than declared. */
    @Test
    void correctsProcessorTimeButNotMemory() {
        VmId vm = mFixture.addVm("a", "d1", 8);
        PendingTask first = mFixture.enqueue(mFixture.batchTask("job", 0, 4));
        mFixture.schedule();
        for (int i = 0; i < 50; i++) {
            mScheduler.recordUsage(
                    new UsageObservation(first.id(), vm, new Resources(1_000, 64, 0), 0, 0, i));
        }
        mFixture.enqueue(mFixture.batchTask("job", 1, 4));
        SchedulingDecision.Place place = (SchedulingDecision.Place) mFixture.schedule().getFirst();
        assertThat(place.reserved().milliCpu()).isLessThan(2_500);
        assertThat(place.reserved().memoryMb()).isEqualTo(4 * 1_024);
    }

    /**
     * Guards against a quarantined VM getting tasks, and against more than one task in its retest.
     */
    @Test
    void excludesQuarantinedVmAndRetestsWithOneTask() {
        VmId bad = mFixture.addVm("bad", "d1", 4);
        VmId good = mFixture.addVm("good", "d1", 4);
        for (String job : List.of("a", "b", "c")) {
            mScheduler.recordSuccess(mFixture.batchTask(job, 0, 1).id(), good);
            mScheduler.recordFailure(mFixture.batchTask(job, 0, 1).id(), bad);
        }
        for (int i = 0; i < 8; i++) {
            mFixture.enqueue(mFixture.batchTask("job", i, 1));
        }
        assertThat(mFixture.placements()).hasSize(4);
        assertThat(mScheduler.explain(new JobId("job"))).contains("4 tasks of job job wait");
        mFixture.advance(Duration.ofMinutes(2));
        List<String> retest = mFixture.placements();
        assertThat(retest).hasSize(1);
        mScheduler.recordSuccess(mFixture.batchTask("job", 4, 1).id(), bad);
        assertThat(mFixture.placements()).hasSize(3);
    }

    /** Guards against a team that was idle getting no more than its weight afterwards. */
    @Test
    void timeAwareDivisionFavoursTeamThatUsedLess() {
        mFixture.addVm("a", "d1", 10);
        mScheduler.setQuotas(
                Map.of(
                        "busy", new TeamQuota(Resources.NONE, 1, 0),
                        "idle", new TeamQuota(Resources.NONE, 1, 0)));
        for (int i = 0; i < 40; i++) {
            mFixture.enqueue(mFixture.task("busy", i, "busy", JobKind.BATCH, 1, false));
        }
        assertThat(mFixture.placements()).hasSize(10);
        mFixture.advance(Duration.ofHours(4));
        for (int i = 0; i < 40; i++) {
            mFixture.enqueue(mFixture.task("idle", i, "idle", JobKind.BATCH, 1, false));
        }
        for (int i = 0; i < 10; i++) {
            mScheduler.release(mFixture.batchTask("busy", i, 1).id());
        }
        List<String> placed = mFixture.placements();
        assertThat(placed).hasSize(10);
        assertThat(placed.stream().filter(id -> id.startsWith("idle")).count()).isAtLeast(8L);
    }
}
