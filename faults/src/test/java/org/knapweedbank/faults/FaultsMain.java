package org.knapweedbank.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Command-line program that reruns one cell of the fault matrix, writes the report, or checks that
 * each mutant is detected.
 */
public final class FaultsMain {
    private static final int USAGE_EXIT_CODE = 2;

    private FaultsMain() {}

    /**
     * Parses the options, runs the selected command and exits with its status: 0 if it passed, 1 if
     * it failed, 2 for wrong options.
     */
    public static void main(String[] args) throws IOException {
        Options options =
                new Options()
                        .addOption(null, "step", true, "step of the cell")
                        .addOption(null, "fault", true, "fault, or two joined by +")
                        .addOption(null, "seed", true, "seed of the cell")
                        .addOption(null, "mutant", true, "mutant to run the cell with")
                        .addOption(null, "report", false, "write docs/fault-matrix.md")
                        .addOption(null, "mutants", false, "check that each mutant is detected");
        try {
            CommandLine commandLine = new DefaultParser().parse(options, args);
            System.exit(run(commandLine));
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println("bin/faults: " + e.getMessage());
            System.err.println(
                    "usage: bin/faults --step S --fault F --seed N | --report | --mutants");
            System.exit(USAGE_EXIT_CODE);
        }
    }

    private static int run(CommandLine commandLine) throws IOException, ParseException {
        if (commandLine.hasOption("report")) {
            return writeReport();
        }
        if (commandLine.hasOption("mutants")) {
            return runMutants();
        }
        if (!commandLine.hasOption("step") || !commandLine.hasOption("fault")) {
            throw new ParseException("--step and --fault are required");
        }
        return runCell(
                commandLine.getOptionValue("step"),
                Stream.of(commandLine.getOptionValue("fault").split("\\+"))
                        .map(Fault::valueOf)
                        .toList(),
                Long.parseLong(commandLine.getOptionValue("seed", "1")),
                commandLine.getOptionValue("mutant", ""));
    }

    /**
     * Runs one cell and prints its trace and violations.
     *
     * @throws ParseException if no domain has the step
     */
    private static int runCell(String step, List<Fault> faults, long seed, String mutant)
            throws ParseException {
        FaultDomain domain =
                FaultMatrix.domains().stream()
                        .filter(candidate -> candidate.steps().contains(step))
                        .findFirst()
                        .orElseThrow(() -> new ParseException("unknown step " + step));
        for (Fault fault : faults) {
            Optional<String> reason = domain.impossibilityReason(step, fault);
            if (reason.isPresent()) {
                System.out.println(fault + " cannot occur at " + step + ": " + reason.get());
                return 0;
            }
        }
        CellOutcome outcome = domain.run(step, faults, seed, mutant);
        outcome.trace().forEach(System.out::println);
        if (!outcome.stepReached()) {
            System.out.println("the step did not occur");
        }
        outcome.violations()
                .forEach(
                        violation ->
                                System.out.println(
                                        "invariant "
                                                + violation.invariant()
                                                + ": "
                                                + violation.detail()));
        return outcome.stepReached() && outcome.violations().isEmpty() ? 0 : 1;
    }

    /** Searches for a detecting cell of each mutant; returns 1 if a mutant remains undetected. */
    private static int runMutants() {
        int missed = 0;
        for (FaultDomain domain : FaultMatrix.domains()) {
            for (String mutant : domain.mutants()) {
                Optional<String> detectingCell = FaultMatrix.findDetectingCell(domain, mutant);
                System.out.println(mutant + ": " + detectingCell.orElse("NOT CAUGHT"));
                missed += detectingCell.isPresent() ? 0 : 1;
            }
        }
        return missed == 0 ? 0 : 1;
    }

    /** Runs the whole matrix and writes the report page; returns 1 if a run failed. */
    private static int writeReport() throws IOException {
        FaultReport report = FaultReport.run();
        Path root = Path.of(System.getProperty("knapweedbank.root", "."));
        Files.writeString(root.resolve("docs/fault-matrix.md"), report.markdown());
        System.out.println(report.summary());
        report.failures().forEach(System.out::println);
        return report.failures().isEmpty() ? 0 : 1;
    }
}
