package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.knapweedbank.config.MergeResult;

/** Command that checks local configuration files and reports all errors. */
final class ValidateCommand implements Command {
    @Override
    public String name() {
        return "validate";
    }

    @Override
    public String usage() {
        return "BASE [OVERLAY]";
    }

    @Override
    public String summary() {
        return "Checks configuration files and reports all errors.";
    }

    @Override
    public String examples() {
        return String.join(
                "\n",
                "knapweedbank validate conf/base.json conf/quito.json",
                "knapweedbank validate conf/base.json conf/quito.json --output json");
    }

    @Override
    public ArgumentCount argumentCount() {
        return new ArgumentCount(1, 2);
    }

    @Override
    public boolean needsServer() {
        return false;
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        Output output = invocation.output();
        MergeResult merged = LocalFiles.readAndMerge(invocation.arguments(), output);
        if (output.isJson()) {
            ObjectNode result = JsonNodeFactory.instance.objectNode();
            merged.errors().forEach(e -> result.withArray("errors").add(e.toString()));
            merged.warnings().forEach(e -> result.withArray("warnings").add(e.toString()));
            result.put("accepted", merged.isAccepted());
            output.printJson(result);
        } else {
            output.printLine(
                    "%d errors, %d warnings"
                            .formatted(merged.errors().size(), merged.warnings().size()));
        }
        return merged.isAccepted() ? ExitCode.DONE : ExitCode.REFUSED;
    }
}
