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
    private final StringBuilder mTables = new StringBuilder();
    private final List<String> mFailures = new ArrayList<>();
    private final Map<String, String> mMarksByReason = new LinkedHashMap<>();
    private int mRunCount;
    private int mImpossiblePairs;

    private FaultReport() {}

    public static FaultReport run() {
        FaultReport report = new FaultReport();
        FaultMatrix.domains().forEach(report::appendDomain);
        return report;
    }

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

    private static String footnoteMark(int index) {
        return "(" + (char) ('a' + index) + ")";
    }

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

    public List<String> failures() {
        return mFailures;
    }

    public String summary() {
        return mRunCount
                + " runs, "
                + mImpossiblePairs
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
                .append(mTables);
        if (!mMarksByReason.isEmpty()) {
            page.append("\n## Cells that cannot occur\n\n");
            mMarksByReason.forEach(
                    (reason, mark) -> page.append("- " + mark + " " + reason + "\n"));
        }
        return page.toString();
    }
}
