package org.knapweedbank.tools;

import java.nio.charset.StandardCharsets;
import org.apache.commons.cli.Options;
import org.knapweedbank.config.MergeResult;

/** Command that applies local files as the next generation. */
final class ApplyCommand implements Command {
    @Override
    public String name() {
        return "apply";
    }

    @Override
    public String usage() {
        return "BASE [OVERLAY] [--expect GENERATION] [--wait]";
    }

    @Override
    public String summary() {
        return "Applies the files as the next generation.";
    }

    @Override
    public String examples() {
        return String.join(
                "\n",
                "knapweedbank apply conf/base.json conf/quito.json --wait",
                "knapweedbank apply conf/base.json conf/quito.json --expect 41");
    }

    @Override
    public ArgumentCount argumentCount() {
        return new ArgumentCount(1, 2);
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.EXPECT)
                .addOption(CommandOptions.WAIT)
                .addOption(CommandOptions.WAIT_TIMEOUT)
                .addOption(CommandOptions.CONFIRM);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        MergeResult merged = LocalFiles.readAndMerge(invocation.arguments(), invocation.output());
        if (!merged.isAccepted()) {
            invocation.output().printMessage("the files have errors; nothing was changed");
            return ExitCode.REFUSED;
        }
        Long expectedGeneration =
                CommandOptions.parseNumber(invocation.commandLine(), CommandOptions.EXPECT, 0);
        if (expectedGeneration == null) {
            GenerationReader.Result result = GenerationReader.read(invocation);
            if (!(result instanceof GenerationReader.Success current)) {
                return ((GenerationReader.Failure) result).code();
            }
            expectedGeneration = current.generation();
        }
        String path =
                "/v1/config?expect=%d&change=%s%s"
                        .formatted(
                                expectedGeneration,
                                invocation.changeIdSupplier().get(),
                                CommandOptions.confirmationParameter(
                                        invocation.commandLine(), "&"));
        byte[] body = merged.document().toString().getBytes(StandardCharsets.UTF_8);
        return ChangeReport.report(invocation, ChangeSender.send(invocation, path, body));
    }
}
