package org.knapweedbank.scheduling.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;

class CapacityIndexTest {
    private static final int VMS = 40;

    private static Resources randomAmount(Random random) {
        return new Resources(random.nextInt(20_000), random.nextInt(20_000), random.nextInt(20));
    }

    /**
     * Compares searches in the index with scans of all VMs. Guards against missing a VM that fits
     * and against returning one that does not.
     */
    @Property(tries = 300, seed = "20261204")
    void agreesWithScanOfAllVms(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        CapacityIndex index = new CapacityIndex();
        CapacityIndex.Entry[] entries = new CapacityIndex.Entry[VMS];
        Resources[] amounts = new Resources[VMS];
        VmState[] vms = new VmState[VMS];
        for (int i = 0; i < VMS; i++) {
            vms[i] = new VmState(new VmId("v" + i));
            entries[i] = new CapacityIndex.Entry(vms[i]);
        }
        VmState[] results = new VmState[VMS];
        for (int step = 0; step < 200; step++) {
            int vmIndex = random.nextInt(VMS);
            amounts[vmIndex] = random.nextInt(4) == 0 ? null : randomAmount(random);
            index.update(
                    entries[vmIndex],
                    amounts[vmIndex] == null ? Resources.NONE : amounts[vmIndex],
                    amounts[vmIndex] != null);
            Resources need = randomAmount(random);
            int count = index.collect(need, random.nextBoolean(), results, 0, VMS);
            boolean anyFits = false;
            for (int i = 0; i < VMS; i++) {
                anyFits |= amounts[i] != null && need.fitsIn(amounts[i]);
            }
            assertThat(count > 0).isEqualTo(anyFits);
            for (int i = 0; i < count; i++) {
                int foundIndex = java.util.Arrays.asList(vms).indexOf(results[i]);
                assertThat(need.fitsIn(amounts[foundIndex])).isTrue();
            }
        }
    }
}
