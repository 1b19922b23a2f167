package org.knapweedbank.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against retries that amplify an overload, and against unlimited admission. */
class BudgetTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    @Test
    void limitsRetriesToAShareOfRequests() {
        RetryBudget budget = new RetryBudget(0.1, 5);
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.recordRequest();
            retries += budget.tryWithdraw() ? 1 : 0;
        }
        assertThat(retries).isAtLeast(100);
        assertThat(retries).isAtMost(105);
    }

    @Test
    void hedgeDelayIsALatencyPercentile() {
        HedgePolicy policy = new HedgePolicy(new RetryBudget(0.05, 1), 0.95);
        assertThat(policy.delay()).isEmpty();
        for (int i = 1; i <= 64; i++) {
            policy.recordLatency(Duration.ofMillis(i).toNanos());
        }
        assertThat(policy.delay()).hasValue(Duration.ofMillis(61));
    }

    @Test
    void limitsOpenRequestsPerService() {
        AdmissionController admission = new AdmissionController();
        Admission admitted = new Admission.Admitted();
        assertThat(admission.admit("a", 1, SECOND, Duration.ZERO)).isEqualTo(admitted);
        assertThat(admission.admit("a", 1, SECOND, Duration.ZERO))
                .isInstanceOf(Admission.Refused.class);
        assertThat(admission.admit("b", 1, SECOND, Duration.ZERO)).isEqualTo(admitted);
        admission.release("a");
        assertThat(admission.admit("a", 1, SECOND, Duration.ZERO)).isEqualTo(admitted);
    }

    @Test
    void refusesRequestsThatCannotMeetTheirDeadline() {
        AdmissionController admission = new AdmissionController();
        Admission late = admission.admit("a", 9, SECOND, Duration.ofMillis(2_500));
        assertThat(((Admission.Refused) late).retryAfter()).isEqualTo(Duration.ofSeconds(3));
        assertThat(admission.admit("a", 9, Duration.ZERO, Duration.ZERO))
                .isInstanceOf(Admission.Refused.class);
        assertThat(admission.openRequests("a")).isEqualTo(0);
    }
}
