package org.knapweedbank.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Main class of {@code bin/soak}. Exits with 1 if a promise was broken. */
public final class SoakMain {
    private static final int USAGE_ERROR = 2;

    private SoakMain() {}

    /**
     * Plays a range of seeds in the current folder, the root of the project.
     *
     * @param args options
     * @throws IOException if the processes can't be run
     * @throws InterruptedException if the run is interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        Options options = new Options();
        options.addOption(null, "seeds", true, "range of seeds, FROM-TO");
        options.addOption(null, "seconds", true, "duration of the faults of a seed");
        options.addOption(null, "vms", true, "number of VMs, entries and workers together");
        options.addOption(
                null,
                "plan",
                true,
                "series of faults: calm, hand-over, late-orders, agent-restarts, worker-failures"
                        + " or mixed");
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            String[] seeds = line.getOptionValue("seeds", "1-3").split("-");
            String plan = line.getOptionValue("plan", "mixed");
            SoakRun run =
                    new SoakRun(
                            Path.of("target/soak"),
                            RoleCommands.fromDeployment(Path.of("")),
                            DeploymentSize.ofVms(Integer.parseInt(line.getOptionValue("vms", "7"))),
                            FaultPlan.Kind.valueOf(plan.toUpperCase(Locale.ROOT).replace('-', '_')),
                            Duration.ofSeconds(
                                    Long.parseLong(line.getOptionValue("seconds", "30"))));
            boolean broken = false;
            long last = Long.parseLong(seeds[seeds.length - 1]);
            for (long seed = Long.parseLong(seeds[0]); seed <= last; seed++) {
                SoakResult result = run.play(seed);
                System.out.println(result.summary());
                broken |= !result.violations().isEmpty();
            }
            System.exit(broken ? 1 : 0);
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println("soak: " + e.getMessage());
            System.exit(USAGE_ERROR);
        }
    }
}
