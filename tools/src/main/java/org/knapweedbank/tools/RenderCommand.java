package org.knapweedbank.tools;

import org.knapweedbank.config.MergeResult;

/** Command that prints the merged document of a base file and an overlay. */
final class RenderCommand implements Command {
    @Override
    public String name() {
        return "render";
    }

    @Override
    public String usage() {
        return "BASE [OVERLAY]";
    }

    @Override
    public String summary() {
        return "Prints the merged document of base and overlay.";
    }

    @Override
    public String examples() {
        return String.join("\n", "knapweedbank render conf/base.json conf/quito.json");
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
        MergeResult merged = LocalFiles.readAndMerge(invocation.arguments(), invocation.output());
        if (!merged.isAccepted()) {
            return ExitCode.REFUSED;
        }
        invocation.output().printJson(merged.document());
        return ExitCode.DONE;
    }
}
