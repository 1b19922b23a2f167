package org.knapweedbank.jobs.owner;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares what callers get under a lasting overload with bursts, by the policy of admission. */
class AdmissionOverloadTest {
    private static final Duration ARRIVALS = Duration.ofSeconds(100);
    private static final double BURST_FACTOR = 2;

    private static OverloadSimulation.Result simulate(
            OverloadSimulation.Policy policy, long seed, double jobsPerSecond) {
        return new OverloadSimulation(policy, seed).run(jobsPerSecond, BURST_FACTOR, ARRIVALS);
    }

    /**
     * Guards against callers that wait for jobs which are then not served, against fewer callers
     * that are served, and against refused callers that return behind newer ones.
     */
    @ParameterizedTest
    @CsvSource({"1, 2.5", "2, 2.5", "1, 3.5"})
    void callersAreBetterServedThanWithoutAdmissionControl(long seed, double jobsPerSecond) {
        var all = simulate(OverloadSimulation.Policy.ACCEPT_ALL, seed, jobsPerSecond);
        var bound = simulate(OverloadSimulation.Policy.BOUND, seed, jobsPerSecond);
        var admission = simulate(OverloadSimulation.Policy.ADMISSION, seed, jobsPerSecond);
        assertWithMessage("share served within the late limit")
                .that(admission.inLateLimit())
                .isGreaterThan(all.inLateLimit());
        assertWithMessage("share served within the late limit, with a plain bound")
                .that(admission.inLateLimit())
                .isGreaterThan(bound.inLateLimit());
        assertWithMessage("seconds waited in vain")
                .that(admission.vainSeconds())
                .isLessThan(all.vainSeconds());
        assertWithMessage("newcomers that overtake a refused caller")
                .that(admission.overtakers())
                .isLessThan(bound.overtakers());
    }
}
