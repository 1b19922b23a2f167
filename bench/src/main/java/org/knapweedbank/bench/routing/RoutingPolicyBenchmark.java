package org.knapweedbank.bench.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;
import org.knapweedbank.routing.UpstreamId;

/**
 * Compares the routing policy of the entries with baselines in virtual time: four data centres with
 * an entry each, 11 upstreams with 8 slots, and the same seeded arrivals for each policy.
 */
public final class RoutingPolicyBenchmark implements Benchmark {
    private static final String NAME = "routing.policy";
    private static final long SEED = 20_261_204;
    private static final int UPSTREAM_COUNT = 11;
    private static final int DATA_CENTRE_COUNT = 4;
    private static final double MEAN_SERVICE_NANOS = Duration.ofMillis(20).toNanos();
    private static final double IDEMPOTENT_SHARE = 0.8;

    /** Ratio of the arrival rate to the capacity during an overload. */
    private static final double OVERLOAD_FACTOR = 2;

    private static final List<Scenario> SCENARIOS =
            List.of(
                    new Scenario("steady", Scenario.Kind.NONE, 0.6),
                    new Scenario("slow", Scenario.Kind.SLOW, 0.6),
                    new Scenario("failing", Scenario.Kind.FAILING, 0.6),
                    new Scenario("wave", Scenario.Kind.OVERLOAD, 0.6),
                    new Scenario("leaving", Scenario.Kind.LEAVING, 0.6));

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void run(BenchmarkReport report) {
        for (Scenario scenario : SCENARIOS) {
            List<Arrival> arrivals = generateArrivals(scenario);
            for (Policy policy : Policy.values()) {
                report(report, scenario, policy, simulate(scenario, policy, arrivals));
            }
        }
    }

    private static void report(
            BenchmarkReport report, Scenario scenario, Policy policy, PolicyResult result) {
        String input = "seed " + SEED + ", " + result.requestCount() + " requests";
        Map<String, Double> millis = new LinkedHashMap<>();
        millis.put("p50", result.latencyMillis(50));
        millis.put("p99", result.latencyMillis(99));
        millis.put("p999", result.latencyMillis(99.9));
        String prefix = NAME + "." + scenario.name() + ".";
        millis.forEach(
                (name, value) ->
                        report.add(
                                new Figure(
                                        prefix + name,
                                        value,
                                        "ms",
                                        null,
                                        policy.baseline(),
                                        input)));
        Map<String, Double> percent = new LinkedHashMap<>();
        percent.put("refused", result.refusedPercent());
        percent.put("failed", result.failedPercent());
        percent.put("repeated", result.repeatedPercent());
        percent.forEach(
                (name, value) ->
                        report.add(
                                new Figure(
                                        prefix + name,
                                        value,
                                        "%",
                                        null,
                                        policy.baseline(),
                                        input)));
    }

    /**
     * Generates the arrivals of a scenario as a Poisson process; the service times are
     * exponentially distributed.
     */
    private static List<Arrival> generateArrivals(Scenario scenario) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
        double capacityPerNano = UPSTREAM_COUNT * SimulatedUpstream.SLOTS / MEAN_SERVICE_NANOS;
        List<Arrival> arrivals = new ArrayList<>();
        double nowNanos = 0;
        while (nowNanos < Scenario.DURATION_NANOS) {
            boolean overload =
                    scenario.kind() == Scenario.Kind.OVERLOAD
                            && scenario.isDisturbedAt((long) nowNanos);
            double arrivalsPerNano =
                    capacityPerNano * (overload ? OVERLOAD_FACTOR : scenario.load());
            nowNanos += nextExponential(random) / arrivalsPerNano;
            arrivals.add(
                    new Arrival(
                            (long) nowNanos,
                            random.nextInt(DATA_CENTRE_COUNT),
                            (long) (nextExponential(random) * MEAN_SERVICE_NANOS),
                            random.nextDouble() < IDEMPOTENT_SHARE));
        }
        return arrivals;
    }

    /** Returns an exponentially distributed random number with mean 1. */
    private static double nextExponential(UniformRandomProvider random) {
        return -Math.log(1 - random.nextDouble());
    }

    /** Runs all arrivals of a scenario under one policy. */
    private static PolicyResult simulate(Scenario scenario, Policy policy, List<Arrival> arrivals) {
        VirtualTime time = new VirtualTime();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED + 1);
        PolicyResult result = new PolicyResult();
        Map<UpstreamId, SimulatedUpstream> upstreams = new LinkedHashMap<>();
        for (int i = 0; i < UPSTREAM_COUNT; i++) {
            SimulatedUpstream upstream =
                    new SimulatedUpstream(time, scenario, i, i % DATA_CENTRE_COUNT, i == 0);
            upstreams.put(upstream.id(), upstream);
        }
        List<SimulatedEntry> entries = new ArrayList<>();
        for (int i = 0; i < DATA_CENTRE_COUNT; i++) {
            entries.add(
                    new SimulatedEntry(
                            time,
                            i,
                            policy.createPool(i, time, random),
                            policy.createRetryBudget(),
                            policy.createHedgePolicy(),
                            upstreams,
                            random,
                            result));
        }
        announce(entries, upstreams, false);
        if (scenario.kind() == Scenario.Kind.LEAVING) {
            time.scheduleAt(
                    scenario.disturbanceStartNanos(), () -> announce(entries, upstreams, true));
            time.scheduleAt(
                    scenario.disturbanceEndNanos(), () -> announce(entries, upstreams, false));
        }
        for (Arrival arrival : arrivals) {
            time.scheduleAt(arrival.nanos(), () -> entries.get(arrival.entry()).receive(arrival));
        }
        time.run();
        return result;
    }

    /**
     * Announces all upstreams to all entries; those of the first data centre as leaving if {@code
     * firstDataCentreLeaves} is set.
     */
    private static void announce(
            List<SimulatedEntry> entries,
            Map<UpstreamId, SimulatedUpstream> upstreams,
            boolean firstDataCentreLeaves) {
        for (SimulatedUpstream upstream : upstreams.values()) {
            boolean leaving = firstDataCentreLeaves && upstream.dataCentre() == 0;
            entries.forEach(
                    entry ->
                            entry.pool()
                                    .put(
                                            upstream.id(),
                                            upstream.dataCentre(),
                                            SimulatedUpstream.SLOTS,
                                            leaving));
        }
    }
}
