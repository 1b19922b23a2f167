package org.knapweedbank.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.knapweedbank.time.ManualClock;

/**
 * Applies each fault at each step of each kind of request and compares the resulting actions.
 * Guards against sending a request twice, reporting "not run" for a request that may have run,
 * ending a truncated answer as complete, and losing a claim.
 */
class RequestPlanFaultTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Map<String, PlanEvent> EVENTS = events();

    private final ManualClock mClock = new ManualClock();
    private final FixedPool mPool = new FixedPool("a", "b", "c");

    private static Map<String, PlanEvent> events() {
        Map<String, PlanEvent> events = new TreeMap<>();
        events.put("start", new PlanEvent.Start());
        events.put("granted", new PlanEvent.ClaimGranted());
        events.put("held", new PlanEvent.ClaimHeld("a", "earlier"));
        events.put("heldElsewhere", new PlanEvent.ClaimHeld("", "earlier"));
        events.put("storeDown", new PlanEvent.ClaimUnavailable("down"));
        events.put("storeLost", new PlanEvent.ClaimUnknown("lost"));
        events.put("hedge", new PlanEvent.HedgeDue());
        events.put("resume", new PlanEvent.ResumeDue());
        events.put("deadline", new PlanEvent.DeadlinePassed());
        events.put("gone", new PlanEvent.CallerDisconnected());
        for (int i = 1; i <= 3; i++) {
            events.put("notSent" + i, new PlanEvent.NotSent(i, "refused"));
            events.put("lost" + i, new PlanEvent.ConnectionLost(i, "broken"));
            events.put("head" + i, new PlanEvent.Head(i, 200, false));
            events.put("stream" + i, new PlanEvent.Head(i, 200, true));
            events.put("error" + i, new PlanEvent.Head(i, 500, false));
            events.put("x" + i, new PlanEvent.Chunk(i, 0, new byte[10]));
            events.put("y" + i, new PlanEvent.Chunk(i, 1, new byte[5]));
            events.put("big" + i, new PlanEvent.Chunk(i, 0, new byte[100_000]));
            events.put("end" + i, new PlanEvent.End(i, 2, 15));
            events.put("endOne" + i, new PlanEvent.End(i, 1, 10));
            events.put("endBig" + i, new PlanEvent.End(i, 2, 100_005));
            events.put("endMore" + i, new PlanEvent.End(i, 2, 99));
            events.put("notRun" + i, new PlanEvent.NotRun(i, "busy", false));
            events.put("unknown" + i, new PlanEvent.OutcomeUnknown(i, "unknown"));
            events.put("moved" + i, new PlanEvent.StreamMoved(i));
        }
        return events;
    }

    @ParameterizedTest
    @CsvFileSource(resources = "request-plan-faults.csv", delimiter = '|')
    void handlesEachFaultAtEachStep(String kind, String events, String actions) {
        RequestPlan plan = newPlan(kind);
        assertThat(applyEvents(plan, events)).isEqualTo(actions);
        if (plan.finished()) {
            assertWithMessage("open attempts").that(mPool.mOpenAttempts).isEqualTo(0);
        }
    }

    @Test
    void reportsNotRunWithoutUpstream() {
        mPool.mUpstreams.clear();
        assertThat(applyEvents(newPlan("get"), "start")).isEqualTo("refuse503not-run");
        assertThat(applyEvents(newPlan("keyed"), "start")).isEqualTo("refuse503not-run");
    }

    /**
     * Guards against a claim that is never released when the upstreams leave while the key is being
     * claimed.
     */
    @Test
    void releasesClaimWhenUpstreamsLeaveDuringClaim() {
        RequestPlan plan = newPlan("keyed");
        assertThat(applyEvents(plan, "start")).isEqualTo("claima");
        mPool.mUpstreams.remove(FixedPool.id("a"));
        assertThat(applyEvents(plan, "granted")).isEqualTo("send1b");
        RequestPlan second = newPlan("keyed");
        assertThat(applyEvents(second, "start")).isEqualTo("claimb");
        mPool.mUpstreams.clear();
        assertThat(applyEvents(second, "granted")).isEqualTo("release refuse503not-run");
    }

    /** Guards against aborting a stream when no upstream is available for a moment. */
    @Test
    void keepsStreamOpenWhileNoUpstreamIsAvailable() {
        RequestPlan plan = newPlan("watch");
        applyEvents(plan, "start stream1 x1");
        mPool.mUpstreams.clear();
        assertThat(applyEvents(plan, "moved1 resume resume")).isEqualTo("timer timer timer");
        mPool.mUpstreams.add(FixedPool.id("c"));
        assertThat(applyEvents(plan, "resume stream2 x2")).isEqualTo("send2c timer body2");
    }

    /** Guards against retrying a stream forever. */
    @Test
    void abortsStreamAfterManyFailedResumes() {
        RequestPlan plan = newPlan("watch");
        applyEvents(plan, "start stream1 x1");
        mPool.mUpstreams.clear();
        applyEvents(plan, "lost1");
        String last = "";
        for (int i = 0; i < 50 && !plan.finished(); i++) {
            last = applyEvents(plan, "resume");
        }
        assertThat(last).isEqualTo("abort");
    }

    @Test
    void stopsRetryingWhenBudgetIsExhausted() {
        RequestPlan plan = newPlan("get", new RetryBudget(0.1, 0.5));
        assertThat(applyEvents(plan, "start lost1")).isEqualTo("send1a refuse502unknown");
    }

    /** Guards against never ejecting an upstream that does not answer. */
    @Test
    void countsSilenceUntilDeadlineAsFailure() {
        RequestPlan plan = newPlan("get");
        applyEvents(plan, "start");
        mClock.advance(Duration.ofSeconds(5));
        applyEvents(plan, "deadline");
        assertThat(mPool.mResults).containsExactly(AttemptResult.FAILED);
    }

    /** Runs all sequences of three events and checks the rules that hold for each of them. */
    @ParameterizedTest
    @MethodSource("kinds")
    void keepsRulesForAllEventSequences(String kind) {
        List<String> eventNames =
                EVENTS.keySet().stream().filter(name -> !name.endsWith("3")).toList();
        String prefix = kind.equals("keyed") ? "start granted " : "start ";
        for (String first : eventNames) {
            for (String second : eventNames) {
                for (String third : eventNames) {
                    String events = prefix + first + " " + second + " " + third;
                    checkRules(kind, events, newPlan(kind));
                }
            }
        }
    }

    static Stream<String> kinds() {
        return Stream.of("get", "post", "keyed", "watch");
    }

    private static void checkRules(String kind, String events, RequestPlan plan) {
        Set<Integer> sent = new HashSet<>();
        Map<Integer, Boolean> provenNotRun = new HashMap<>();
        int results = 0;
        int claimed = 0;
        for (String name : events.split(" ")) {
            int number = name.charAt(name.length() - 1) - '0';
            boolean provesNotRun = name.startsWith("notSent") || name.startsWith("notRun");
            if (sent.contains(number)) {
                provenNotRun.putIfAbsent(number, provesNotRun);
            }
            for (PlanAction action : plan.handle(EVENTS.get(name))) {
                String label = label(action);
                boolean allProvenNotRun =
                        sent.stream().allMatch(i -> provenNotRun.getOrDefault(i, false));
                if (label.startsWith("send") && !kind.equals("get") && !kind.equals("watch")) {
                    assertWithMessage(events + ": sent twice").that(allProvenNotRun).isTrue();
                }
                if (label.contains("not-run") || label.equals("release") && claimed > 0) {
                    assertWithMessage(events + ": " + label).that(allProvenNotRun).isTrue();
                }
                if (action instanceof PlanAction.Send send) {
                    sent.add(send.attempt());
                }
                results += label.matches("refuse.*|end|abort") ? 1 : 0;
            }
            claimed += name.equals("granted") ? 1 : 0;
        }
        assertWithMessage(events + ": results").that(results).isAtMost(1);
    }

    private RequestPlan newPlan(String kind) {
        return newPlan(kind, new RetryBudget(0.1, 10));
    }

    private RequestPlan newPlan(String kind, RetryBudget retries) {
        boolean idempotent = kind.equals("get") || kind.equals("watch");
        RequestRules rules =
                new RequestRules(
                        idempotent,
                        kind.equals("keyed"),
                        kind.equals("watch"),
                        mClock.monotonicNanos() + 10 * SECOND);
        HedgePolicy hedges = new HedgePolicy(new RetryBudget(0.05, 10), 0.95);
        return new RequestPlan(rules, mPool, retries, hedges, mClock);
    }

    private static String applyEvents(RequestPlan plan, String events) {
        List<String> actions = new ArrayList<>();
        for (String name : events.trim().split(" ")) {
            PlanEvent event = EVENTS.get(name);
            assertWithMessage(name).that(event).isNotNull();
            plan.handle(event).forEach(action -> actions.add(label(action)));
        }
        return String.join(" ", actions);
    }

    private static String label(PlanAction action) {
        return switch (action) {
            case PlanAction.Claim claim -> "claim" + claim.agent();
            case PlanAction.ReleaseClaim release -> "release";
            case PlanAction.Send send -> "send" + send.attempt() + send.upstream().agent();
            case PlanAction.Replay replay -> "replay" + replay.attempt() + replay.agent();
            case PlanAction.Cancel cancel -> "cancel" + cancel.attempt();
            case PlanAction.SetHedgeTimer timer -> "hedgeTimer";
            case PlanAction.SetResumeTimer timer -> "timer";
            case PlanAction.ForwardHead head -> "head" + head.attempt();
            case PlanAction.ForwardBody body -> "body" + body.attempt();
            case PlanAction.EndAnswer end -> "end";
            case PlanAction.AbortAnswer abort -> "abort";
            case PlanAction.Refuse refuse ->
                    "refuse" + refuse.kind().status() + refuse.outcome().label();
        };
    }
}
