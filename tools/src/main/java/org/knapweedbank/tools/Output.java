package org.knapweedbank.tools;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints results as a table or as JSON, and messages on the error stream. */
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

    void line(String text) {
        mOut.println(text);
    }

    void message(String text) {
        mErr.println(text);
    }

    void json(JsonNode node) {
        try {
            mOut.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(node));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Prints the fields of each row under their names. */
    void table(Iterable<JsonNode> rows, String... fields) {
        List<List<String>> cells = new ArrayList<>();
        cells.add(List.of(fields));
        for (JsonNode row : rows) {
            List<String> line = new ArrayList<>();
            for (String field : fields) {
                line.add(row.path(field).asText().replaceAll("\\p{Cntrl}", " "));
            }
            cells.add(line);
        }
        int[] widths = new int[fields.length];
        for (List<String> line : cells) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        cells.forEach(line -> mOut.println(row(line, widths)));
    }

    private static String row(List<String> line, int[] widths) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            text.append(line.get(i)).append(" ".repeat(widths[i] - line.get(i).length() + 2));
        }
        return text.toString().stripTrailing();
    }
}
