package org.knapweedbank.tools;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints results as tables or JSON to one stream, and messages to another. */
final class Output {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final PrintStream mOut;
    private final PrintStream mErr;
    private final boolean mJson;

    Output(PrintStream out, PrintStream err, boolean json) {
        mOut = out;
        mErr = err;
        mJson = json;
    }

    boolean isJson() {
        return mJson;
    }

    void printLine(String text) {
        mOut.println(text);
    }

    void printMessage(String text) {
        mErr.println(text);
    }

    void printJson(JsonNode node) {
        try {
            mOut.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(node));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Prints a table with the given fields as columns; the first line contains the field names. */
    void printTable(Iterable<JsonNode> rows, String... fields) {
        List<List<String>> tableRows = new ArrayList<>();
        tableRows.add(List.of(fields));
        for (JsonNode row : rows) {
            List<String> cells = new ArrayList<>();
            for (String field : fields) {
                cells.add(row.path(field).asText().replaceAll("\\p{Cntrl}", " "));
            }
            tableRows.add(cells);
        }
        int[] widths = new int[fields.length];
        for (List<String> cells : tableRows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], cells.get(i).length());
            }
        }
        tableRows.forEach(cells -> mOut.println(formatRow(cells, widths)));
    }

    private static String formatRow(List<String> cells, int[] widths) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            text.append(cells.get(i)).append(" ".repeat(widths[i] - cells.get(i).length() + 2));
        }
        return text.toString().stripTrailing();
    }
}
