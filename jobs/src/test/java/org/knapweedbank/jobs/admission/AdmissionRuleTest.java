package org.knapweedbank.jobs.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedbank.model.JobId;

/** Tests the decision about a job with an objective of 4 s and a limit of 12 s. */
class AdmissionRuleTest {
    private static JobDemand<Integer> demand(double coreSeconds, long pathSeconds) {
        return new JobDemand<>(
                new JobId("j"),
                new WorkPool("svc", WorkKind.RESERVED),
                0,
                coreSeconds * 1_000,
                Duration.ofSeconds(pathSeconds),
                Duration.ofSeconds(4),
                Duration.ofSeconds(12));
    }

    private static PoolLoad load(boolean waiting, double rate, double coreSecondsBefore) {
        OptionalDouble known = rate > 0 ? OptionalDouble.of(rate) : OptionalDouble.empty();
        return new PoolLoad(waiting, known, coreSecondsBefore * 1_000);
    }

    /**
     * Guards against the refusal of a job that can be served or about which too little is known,
     * and against a retry time other than the time by which the job is late.
     */
    @ParameterizedTest
    @CsvSource({
        // work, path, waiting, rate, before: retry after in ms, 0 if admitted
        "10, 1, true, 10, 100, 0", // ends after 11 s
        "10, 1, true, 10, 150, 4000", // ends after 16 s
        "10, 1, true, 10, 111, 1000", // late by 0.1 s, shortest retry time
        "10, 1, true, 10, 900, 30000", // late by 79 s, longest retry time
        "10, 1, false, 10, 900, 0", // nothing waits
        "10, 1, true, 0, 900, 0", // unknown rate
        "900, 1, true, 10, 39, 0", // late because of its own size
        "10, 15, true, 10, 50, 3000", // the critical path takes longer than the limit
    })
    void jobIsRefusedOnlyIfTheBacklogMakesItLate(
            double work, long path, boolean waiting, double rate, double before, long retryMillis) {
        AdmissionDecision decision =
                AdmissionRule.decide(
                        demand(work, path),
                        List.of(load(true, 10, 900), load(waiting, rate, before)));
        long actual =
                switch (decision) {
                    case AdmissionDecision.Admit admit -> 0;
                    case AdmissionDecision.Refuse refuse -> refuse.retryAfter().toMillis();
                };
        assertThat(actual).isEqualTo(retryMillis);
    }

    /** Guards against a refusal although the load was lower within the persistence time. */
    @ParameterizedTest
    @CsvSource({"true, 10, 50", "false, 10, 900", "true, 0, 900"})
    void oneLowerLoadInThePersistenceTimeAdmitsTheJob(boolean waiting, double rate, double before) {
        List<PoolLoad> loads = List.of(load(waiting, rate, before), load(true, 10, 900));
        assertThat(AdmissionRule.decide(demand(10, 1), loads))
                .isInstanceOf(AdmissionDecision.Admit.class);
    }
}
