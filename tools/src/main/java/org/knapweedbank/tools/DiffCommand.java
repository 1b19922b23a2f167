package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.knapweedbank.config.MergeResult;

/** Command that shows the differences between local files and the generation in force. */
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
        return "Shows the differences between the files and the generation in force.";
    }

    @Override
    public String examples() {
        return "knapweedbank diff conf/base.json conf/quito.json --server 10.0.0.5:7003";
    }

    @Override
    public ArgumentCount argumentCount() {
        return new ArgumentCount(1, 2);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        Output output = invocation.output();
        MergeResult merged = LocalFiles.readAndMerge(invocation.arguments(), output);
        if (!merged.isAccepted()) {
            return ExitCode.REFUSED;
        }
        GenerationReader.Result result = GenerationReader.read(invocation);
        if (!(result instanceof GenerationReader.Success current)) {
            return ((GenerationReader.Failure) result).code();
        }
        Comparison comparison =
                new Comparison.WithGeneration(
                        current.generation(),
                        DocumentDiff.compare(current.document(), merged.document()));
        if (output.isJson()) {
            ObjectNode resultNode = JsonNodeFactory.instance.objectNode();
            comparison.addTo(resultNode);
            output.printJson(resultNode);
        } else {
            comparison.print(output);
        }
        return ExitCode.DONE;
    }
}
