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

    private static Resources amount(Random random) {
        return new Resources(random.nextInt(20_000), random.nextInt(20_000), random.nextInt(20));
    }

    /** Guards against the index missing a VM that fits, or returning one that does not. */
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
        VmState[] found = new VmState[VMS];
        for (int step = 0; step < 200; step++) {
            int at = random.nextInt(VMS);
            amounts[at] = random.nextInt(4) == 0 ? null : amount(random);
            index.update(
                    entries[at],
                    amounts[at] == null ? Resources.NONE : amounts[at],
                    amounts[at] != null);
            Resources need = amount(random);
            int count = index.collect(need, random.nextBoolean(), found, 0, VMS);
            boolean any = false;
            for (int i = 0; i < VMS; i++) {
                any |= amounts[i] != null && need.fitsIn(amounts[i]);
            }
            assertThat(count > 0).isEqualTo(any);
            for (int i = 0; i < count; i++) {
                int vm = java.util.Arrays.asList(vms).indexOf(found[i]);
                assertThat(need.fitsIn(amounts[vm])).isTrue();
            }
        }
    }
}
