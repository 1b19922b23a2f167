package org.knapweedbank.tools;

import java.nio.charset.StandardCharsets;
import org.apache.commons.cli.Options;
import org.knapweedbank.config.MergeResult;

/** Puts the files in force as the next generation. */
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
        return "Puts the files in force as the next generation.";
    }

    @Override
    public String examples() {
        return String.join(
                "\n",
                "knapweedbank apply conf/base.json conf/quito.json --wait",
                "knapweedbank apply conf/base.json conf/quito.json --expect 41");
    }

    @Override
    public ArgumentCount arguments() {
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
        MergeResult merged = LocalFiles.merge(invocation.arguments(), invocation.output());
        if (!merged.isAccepted()) {
            invocation.output().message("the files have errors; nothing was changed");
            return ExitCode.REFUSED;
        }
        Long expect = CommandOptions.number(invocation.line(), CommandOptions.EXPECT, 0);
        if (expect == null) {
            GenerationReader.Reading reading = GenerationReader.read(invocation);
            if (!(reading instanceof GenerationReader.Known known)) {
                return ((GenerationReader.Failed) reading).code();
            }
            expect = known.generation();
        }
        String path =
                "/v1/config?expect=%d&change=%s%s"
                        .formatted(
                                expect,
                                invocation.changeIds().get(),
                                CommandOptions.confirmation(invocation.line(), "&"));
        byte[] body = merged.document().toString().getBytes(StandardCharsets.UTF_8);
        return ChangeReport.report(invocation, ChangeSender.send(invocation, path, body));
    }
}
