package org.knapweedbank.jobs.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class RateMeterTest {
    private final RateMeter mMeter = new RateMeter();
    private long mNow;

    private void observe(int intervals, double cores) {
        for (int i = 0; i < intervals; i++) {
            mNow += 250;
            mMeter.add(mNow, 250, 250 * cores);
        }
    }

    /** Guards against refusals by a rate that was measured for too short a time. */
    @Test
    void rateIsUnknownBelowFiveSecondsOfWaiting() {
        observe(19, 8);
        assertThat(mMeter.rate(mNow)).isEqualTo(OptionalDouble.empty());
        observe(1, 8);
        assertThat(mMeter.rate(mNow)).isEqualTo(OptionalDouble.of(8));
    }

    /** Guards against a rate that remains wrong for longer than 10 s after the capacity changed. */
    @Test
    void rateFollowsWithinTenSeconds() {
        observe(60, 8);
        observe(40, 2);
        assertThat(mMeter.rate(mNow)).isEqualTo(OptionalDouble.of(2));
    }

    /** Guards against refusals by the rate of an earlier overload. */
    @Test
    void oldRateIsForgotten() {
        observe(40, 8);
        assertThat(mMeter.rate(mNow + RateMeter.MAX_AGE_MILLIS + 1))
                .isEqualTo(OptionalDouble.empty());
    }

    /**
     * Guards against the refusal of all jobs by a rate that is only a rounding error, after work of
     * uneven amounts and then none.
     */
    @Test
    void rateIsUnknownOnceEarlierProgressIsOutOfTheWindow() {
        for (int i = 0; i < 40; i++) {
            observe(1, (1 + i % 6) / 3.0);
        }
        observe(40, 0);
        assertThat(mMeter.rate(mNow)).isEqualTo(OptionalDouble.empty());
    }

    /** Guards against an infinite expected end while no progress is reported. */
    @Test
    void rateIsUnknownWithoutProgress() {
        observe(40, 0);
        assertThat(mMeter.rate(mNow)).isEqualTo(OptionalDouble.empty());
    }
}
