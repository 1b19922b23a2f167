package org.knapweedbank.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.List;
import org.knapweedbank.bench.agent.AgentFootprint;
import org.knapweedbank.bench.capacity.MembershipCapacity;
import org.knapweedbank.bench.capacity.OwnerCapacity;
import org.knapweedbank.bench.routing.RoutingOverheadBenchmark;
import org.knapweedbank.bench.routing.RoutingPolicyBenchmark;
import org.knapweedbank.bench.scheduling.InterferenceBenchmark;
import org.knapweedbank.bench.scheduling.PlacementLatency;
import org.knapweedbank.bench.scheduling.PlacementQuality;
import org.knapweedbank.bench.scheduling.PlacementThroughput;
import org.knapweedbank.bench.scheduling.QuotaFairness;
import org.knapweedbank.bench.scheduling.ReservationPlanTime;
import org.knapweedbank.bench.scheduling.UrgentStart;
import org.knapweedbank.bench.store.JournalLoadBenchmark;

/** Runs the benchmarks named on the command line and prints each figure as one line of JSON. */
public final class BenchmarkRunner {
    private static final List<Benchmark> BENCHMARKS =
            List.of(
                    new PlacementThroughput(),
                    new PlacementLatency(),
                    new PlacementQuality(),
                    new UrgentStart(),
                    new ReservationPlanTime(),
                    new OwnerCapacity(),
                    new MembershipCapacity(),
                    new AgentFootprint(),
                    new JournalLoadBenchmark(),
                    new QuotaFairness(),
                    new InterferenceBenchmark(),
                    new RoutingPolicyBenchmark(),
                    new RoutingOverheadBenchmark());

    private BenchmarkRunner() {}

    /**
     * Runs the benchmarks whose names start with one of the arguments, or lists all names if there
     * are no arguments.
     *
     * @param args names of benchmarks or prefixes of names
     * @throws Exception when a benchmark cannot run
     */
    public static void main(String[] args) throws Exception {
        if (args.length == 0) {
            BENCHMARKS.forEach(benchmark -> System.out.println(benchmark.name()));
            return;
        }
        List<Benchmark> selected =
                BENCHMARKS.stream().filter(benchmark -> matches(benchmark, args)).toList();
        if (selected.isEmpty()) {
            System.err.println(
                    "bench: no benchmark has such a name; run without arguments for a list");
            System.exit(2);
        }
        ObjectMapper mapper = new ObjectMapper().disable(SerializationFeature.CLOSE_CLOSEABLE);
        for (Benchmark benchmark : selected) {
            benchmark.run(figure -> print(mapper, figure, System.out));
        }
        // Scheduler threads that libraries have started would keep the process running.
        System.exit(0);
    }

    private static boolean matches(Benchmark benchmark, String[] names) {
        return List.of(names).stream().anyMatch(name -> benchmark.name().startsWith(name));
    }

    private static void print(ObjectMapper mapper, Figure figure, PrintStream out) {
        try {
            out.println(mapper.writeValueAsString(figure));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
