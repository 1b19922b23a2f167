package org.knapweedbank.faults;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Counts of the runs of the whole matrix, as a page. */
public final class FaultReport {
    private final StringBuilder mPage = new StringBuilder();
    private final List<String> mFailures = new ArrayList<>();
    private final Map<String, String> mReasons = new LinkedHashMap<>();
    private int mRuns;
    private int mImpossible;

    private FaultReport() {}

    public static FaultReport run() {
        FaultReport report = new FaultReport();
        FaultMatrix.domains().forEach(report::domain);
        return report;
    }

    private void domain(FaultDomain domain) {
        List<String> columns =
                Stream.concat(
                                Stream.of(Fault.values()).map(f -> f.name().replace('_', ' ')),
                                Stream.of("PAIRS"))
                        .toList();
        mPage.append("\n## ").append(domain.name()).append("\n\n| step | ");
        mPage.append(String.join(" | ", columns).toLowerCase(java.util.Locale.ROOT));
        mPage.append(" |\n|---|").append("---|".repeat(columns.size())).append('\n');
        domain.steps().forEach(step -> mPage.append(row(domain, step)).append('\n'));
    }

    private String row(FaultDomain domain, String step) {
        List<FaultMatrix.Cell> cells = FaultMatrix.cells(domain, step);
        Map<FaultMatrix.Cell, List<String>> results =
                cells.parallelStream()
                        .collect(Collectors.toMap(cell -> cell, FaultMatrix.Cell::failures));
        results.values().forEach(mFailures::addAll);
        mRuns += cells.size();
        StringBuilder row = new StringBuilder("| " + step + " | ");
        for (Fault fault : Fault.values()) {
            Optional<String> reason = domain.impossible(step, fault);
            if (reason.isPresent()) {
                mImpossible++;
                String mark = mReasons.computeIfAbsent(reason.get(), r -> note(mReasons.size()));
                row.append(mark).append(" | ");
            } else {
                row.append(count(results, List.of(fault))).append(" | ");
            }
        }
        return row.append(count(results, List.of())).append(" |").toString();
    }

    private static String note(int index) {
        return "(" + (char) ('a' + index) + ")";
    }

    private static String count(Map<FaultMatrix.Cell, List<String>> results, List<Fault> faults) {
        List<FaultMatrix.Cell> cells =
                results.keySet().stream()
                        .filter(
                                cell ->
                                        faults.isEmpty()
                                                ? cell.faults().size() > 1
                                                : cell.faults().equals(faults))
                        .toList();
        long failed = cells.stream().filter(cell -> !results.get(cell).isEmpty()).count();
        return failed == 0 ? "" + cells.size() : cells.size() + " (" + failed + " broken)";
    }

    public List<String> failures() {
        return mFailures;
    }

    public String summary() {
        return mRuns
                + " runs, "
                + mImpossible
                + " pairs of step and fault that cannot occur, "
                + mFailures.size()
                + " broken invariants";
    }

    public String markdown() {
        StringBuilder page = new StringBuilder("# Fault matrix\n\n");
        page.append("Written by `bin/faults --report`. Each figure is the number of runs of a step")
                .append(" with a fault;\neach run is checked against the invariants of the design")
                .append(" page. A letter stands for the\nreason why a cell cannot occur.\n\n")
                .append(summary())
                .append(".\n")
                .append(mPage);
        if (!mReasons.isEmpty()) {
            page.append("\n## Cells that cannot occur\n\n");
            mReasons.forEach((reason, mark) -> page.append("- " + mark + " " + reason + "\n"));
        }
        return page.toString();
    }
}
