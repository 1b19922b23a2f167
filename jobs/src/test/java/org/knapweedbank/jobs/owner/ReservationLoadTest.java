package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.owner.MixedLoad.Waits;
import org.knapweedbank.jobs.reservation.ReservationSettings;

/** Compares waits for a start under a mixed load with and without reservations. */
class ReservationLoadTest {
    private static final int SEEDS = 4;
    private static final int VMS = 12;

    /** Together with the large tasks, 90% of the processor time of the VMs. */
    private static final double SMALL_PER_SECOND = 36;

    /** Largest share of the waits of best fit that counts as clearly less. */
    private static final double CLEARLY_LESS = 0.75;

    private static Waits run(MixedLoad.Policy policy) {
        Waits all = new Waits(new ArrayList<>(), new ArrayList<>());
        for (long seed = 1; seed <= SEEDS; seed++) {
            Waits waits = new MixedLoad(policy, seed, VMS, SMALL_PER_SECOND).run();
            all.mLarge().addAll(waits.mLarge());
            all.mSmall().addAll(waits.mSmall());
        }
        all.mLarge().sort(null);
        all.mSmall().sort(null);
        System.out.println(policy + " large " + describe(all.mLarge()));
        System.out.println(policy + " small " + describe(all.mSmall()));
        return all;
    }

    private static String describe(List<Long> waits) {
        return "%d tasks, wait mean %.0f, p90 %d, max %d ms"
                .formatted(
                        waits.size(),
                        Waits.mean(waits),
                        Waits.quantile(waits, 0.9),
                        waits.getLast());
    }

    /**
     * Guards against large tasks that wait because small ones use each resource as it becomes free,
     * and against reservations that delay small tasks longer than their settings allow or keep as
     * much unused as a strict order without backfill.
     */
    @Test
    void largeTasksWaitLessAndSmallOnesLittleLonger() {
        Map<MixedLoad.Policy, Waits> waits = new EnumMap<>(MixedLoad.Policy.class);
        for (MixedLoad.Policy policy : MixedLoad.Policy.values()) {
            waits.put(policy, run(policy));
        }
        Waits bestFit = waits.get(MixedLoad.Policy.BEST_FIT);
        Waits reserved = waits.get(MixedLoad.Policy.RESERVATIONS);
        assertThat(Waits.mean(reserved.mLarge()))
                .isLessThan(CLEARLY_LESS * Waits.mean(bestFit.mLarge()));
        assertThat(Waits.quantile(reserved.mLarge(), 0.9))
                .isLessThan((long) (CLEARLY_LESS * Waits.quantile(bestFit.mLarge(), 0.9)));
        ReservationSettings settings = ReservationSettings.DISABLED;
        assertThat(Waits.mean(reserved.mSmall()))
                .isAtMost(Waits.mean(bestFit.mSmall()) + settings.maxDelay().toMillis());
        assertThat(reserved.mSmall().getLast())
                .isAtMost(bestFit.mSmall().getLast() + settings.maxHold().toMillis());
        assertThat(Waits.mean(reserved.mSmall()))
                .isLessThan(Waits.mean(waits.get(MixedLoad.Policy.STRICT_ORDER).mSmall()));
    }
}
