package org.knapweedbank.faults;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Runs the whole fault matrix and formats the number of runs of each cell as a Markdown page. */
public final class FaultReport {
    /** Tables of the domains in Markdown. */
    private final StringBuilder mTables = new StringBuilder();

    /** Descriptions of the failed runs. */
    private final List<String> mFailures = new ArrayList<>();

    /** Footnote marks by the reason why a cell cannot occur, in the order of first use. */
    private final Map<String, String> mMarksByReason = new LinkedHashMap<>();

    private int mRunCount;

    /** Number of pairs of a step and a fault that cannot occur. */
    private int mImpossiblePairs;

    private FaultReport() {}

    /** Runs all cells and returns the report on them. */
    public static FaultReport run() {
        FaultReport report = new FaultReport();
        FaultMatrix.domains().forEach(report::appendDomain);
        return report;
    }

    /** Runs the cells of a domain and appends its table. */
    private void appendDomain(FaultDomain domain) {
        List<String> columns =
                Stream.concat(
                                Stream.of(Fault.values())
                                        .map(fault -> fault.name().replace('_', ' ')),
                                Stream.of("PAIRS"))
                        .toList();
        mTables.append("\n## ").append(domain.name()).append("\n\n| step | ");
        mTables.append(String.join(" | ", columns).toLowerCase(java.util.Locale.ROOT));
        mTables.append(" |\n|---|").append("---|".repeat(columns.size())).append('\n');
        domain.steps().forEach(step -> mTables.append(formatRow(domain, step)).append('\n'));
    }

    /** Runs the cells of a step and returns its table row. */
    private String formatRow(FaultDomain domain, String step) {
        List<FaultMatrix.Cell> cells = FaultMatrix.cells(domain, step);
        Map<FaultMatrix.Cell, List<String>> failuresByCell =
                cells.parallelStream()
                        .collect(Collectors.toMap(cell -> cell, FaultMatrix.Cell::failures));
        failuresByCell.values().forEach(mFailures::addAll);
        mRunCount += cells.size();
        StringBuilder row = new StringBuilder("| " + step + " | ");
        for (Fault fault : Fault.values()) {
            Optional<String> reason = domain.impossibilityReason(step, fault);
            if (reason.isPresent()) {
                mImpossiblePairs++;
                String mark =
                        mMarksByReason.computeIfAbsent(
                                reason.get(), newReason -> footnoteMark(mMarksByReason.size()));
                row.append(mark).append(" | ");
            } else {
                row.append(formatRunCount(failuresByCell, List.of(fault))).append(" | ");
            }
        }
        return row.append(formatRunCount(failuresByCell, List.of())).append(" |").toString();
    }

    /** Returns the footnote mark with an index: (a), (b) and so on. */
    private static String footnoteMark(int index) {
        return "(" + (char) ('a' + index) + ")";
    }

    /**
     * Formats how many cells ran and how many of them failed, for one list of faults or, if the
     * list is empty, for all pairs.
     */
    private static String formatRunCount(
            Map<FaultMatrix.Cell, List<String>> failuresByCell, List<Fault> faults) {
        List<FaultMatrix.Cell> cells =
                failuresByCell.keySet().stream()
                        .filter(
                                cell ->
                                        faults.isEmpty()
                                                ? cell.faults().size() > 1
                                                : cell.faults().equals(faults))
                        .toList();
        long failed = cells.stream().filter(cell -> !failuresByCell.get(cell).isEmpty()).count();
        return failed == 0 ? "" + cells.size() : cells.size() + " (" + failed + " broken)";
    }

    /** Returns the descriptions of the failed runs, each with the options to rerun it. */
    public List<String> failures() {
        return mFailures;
    }

    /** Returns the totals of the report in one line. */
    public String summary() {
        return mRunCount
                + " runs, "
                + mImpossiblePairs
                + " pairs of step and fault that cannot occur, "
                + mFailures.size()
                + " broken invariants";
    }

    /** Returns the report as a Markdown page. */
    public String markdown() {
        StringBuilder page = new StringBuilder("# Fault matrix\n\n");
        page.append("Written by `bin/faults --report`. Each figure is the number of runs of a step")
                .append(" with a fault;\neach run is checked against the invariants of the design")
                .append(" page. A letter stands for the\nreason why a cell cannot occur.\n\n")
                .append(summary())
                .append(".\n")
                .append(mTables);
        if (!mMarksByReason.isEmpty()) {
            page.append("\n## Cells that cannot occur\n\n");
            mMarksByReason.forEach(
                    (reason, mark) -> page.append("- " + mark + " " + reason + "\n"));
        }
        return page.toString();
    }
}
