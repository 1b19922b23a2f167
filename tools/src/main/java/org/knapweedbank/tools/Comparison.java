package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Differences between local files and another document. */
sealed interface Comparison {
    /** Returns the differences, from the other document to the local files. */
    List<DocumentDiff.Difference> differences();

    /** Returns a description of the other document. */
    String description();

    /** Comparison with the generation in force. */
    record WithGeneration(long generation, List<DocumentDiff.Difference> differences)
            implements Comparison {
        @Override
        public String description() {
            return "generation " + generation + " in force";
        }
    }

    /** Comparison with a file. */
    record WithFile(String file, List<DocumentDiff.Difference> differences) implements Comparison {
        @Override
        public String description() {
            return "compared with " + file;
        }
    }

    /** Adds the comparison to the result of a command. */
    default void addTo(ObjectNode result) {
        switch (this) {
            case WithGeneration current -> result.put("generation", current.generation());
            case WithFile other -> result.put("file", other.file());
        }
        ArrayNode differenceNodes = result.putArray("differences");
        differences().forEach(differenceNodes::addPOJO);
    }

    /** Prints the comparison as text. */
    default void print(Output output) {
        output.printLine("%s; %d differences".formatted(description(), differences().size()));
        differences().forEach(difference -> output.printLine(difference.toString()));
    }
}
