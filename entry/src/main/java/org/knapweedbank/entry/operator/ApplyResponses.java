package org.knapweedbank.entry.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.knapweedbank.config.ApplyResult;
import org.knapweedbank.config.ConfigurationWarning;

/** Converts the results of configuration changes to responses. */
final class ApplyResponses {
    private ApplyResponses() {}

    static OperatorResponse of(ApplyResult result) {
        return switch (result) {
            case ApplyResult.Applied applied -> applied(applied);
            case ApplyResult.Conflict conflict -> conflict(conflict);
            case ApplyResult.Rejected rejected ->
                    OperatorProblem.invalidDocument(rejected.errors());
            case ApplyResult.Unavailable unavailable ->
                    OperatorProblem.unavailable(
                            "the change was not applied: " + unavailable.reason());
            case ApplyResult.Unknown unknown ->
                    OperatorProblem.unknown(
                            "it is not known whether the change was applied: " + unknown.reason());
        };
    }

    private static OperatorResponse applied(ApplyResult.Applied applied) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("outcome", "applied");
        node.put("generation", applied.generation());
        node.put("changed", applied.changed());
        for (ConfigurationWarning warning : applied.warnings()) {
            node.withArray("warnings").add(warning.toString());
        }
        return OperatorResponse.of(200, node).withGeneration(applied.generation());
    }

    private static OperatorResponse conflict(ApplyResult.Conflict conflict) {
        String detail =
                conflict.generation() == 0
                        ? "no generation is in force"
                        : "generation %d is in force, set by %s at %s"
                                .formatted(
                                        conflict.generation(), conflict.setBy(), conflict.setAt());
        ObjectNode node =
                OperatorProblem.document(
                        409, "conflict", "Conflict", detail, OperatorProblem.NOT_APPLIED);
        node.put("generation", conflict.generation());
        node.put("setBy", conflict.setBy());
        node.put("setAt", conflict.setAt());
        return OperatorResponse.of(409, node).withGeneration(conflict.generation());
    }
}
