package org.knapweedbank.tools;

import org.knapweedbank.config.MergeResult;

/** Prints the document that base and overlay merge to. */
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
        return "Prints the document that base and overlay merge to.";
    }

    @Override
    public String examples() {
        return String.join("\n", "knapweedbank render conf/base.json conf/quito.json");
    }

    @Override
    public ArgumentCount arguments() {
        return new ArgumentCount(1, 2);
    }

    @Override
    public boolean needsServer() {
        return false;
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        MergeResult merged = LocalFiles.merge(invocation.arguments(), invocation.output());
        if (!merged.isAccepted()) {
            return ExitCode.REFUSED;
        }
        invocation.output().json(merged.document());
        return ExitCode.DONE;
    }
}
