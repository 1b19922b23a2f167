package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.knapweedbank.config.MergeResult;

/** Shows how the files differ from the generation in force. */
final class DiffCommand implements Command {
    @Override
    public String name() {
        return "diff";
    }

    @Override
    public String usage() {
        return "BASE [OVERLAY]";
    }

    @Override
    public String summary() {
        return "Shows how the files differ from the generation in force.";
    }

    @Override
    public String examples() {
        return "knapweedbank diff conf/base.json conf/quito.json --server 10.0.0.5:7003";
    }

    @Override
    public ArgumentCount arguments() {
        return new ArgumentCount(1, 2);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        Output output = invocation.output();
        MergeResult merged = LocalFiles.merge(invocation.arguments(), output);
        if (!merged.isAccepted()) {
            return ExitCode.REFUSED;
        }
        GenerationReader.Reading reading = GenerationReader.read(invocation);
        if (!(reading instanceof GenerationReader.Known known)) {
            return ((GenerationReader.Failed) reading).code();
        }
        List<DocumentDiff.Difference> differences =
                DocumentDiff.between(known.document(), merged.document());
        if (output.isJson()) {
            ObjectNode result = JsonNodeFactory.instance.objectNode();
            result.put("generation", known.generation());
            ArrayNode list = result.putArray("differences");
            differences.forEach(difference -> list.addPOJO(difference));
            output.json(result);
        } else {
            output.line(
                    "generation %d in force; %d differences"
                            .formatted(known.generation(), differences.size()));
            differences.forEach(difference -> output.line(difference.toString()));
        }
        return ExitCode.DONE;
    }
}
