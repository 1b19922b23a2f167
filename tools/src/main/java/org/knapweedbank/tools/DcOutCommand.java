package org.knapweedbank.tools;

import org.apache.commons.cli.Options;

/** Command that takes a data centre out of service. */
final class DcOutCommand implements Command {
    @Override
    public String name() {
        return "dc out";
    }

    @Override
    public String usage() {
        return "NAME [--expect GENERATION] [--wait]";
    }

    @Override
    public String summary() {
        return "Takes a data centre out of service.";
    }

    @Override
    public String examples() {
        return String.join(
                "\n", "knapweedbank dc out quito-2", "knapweedbank dc out quito-2 --wait");
    }

    @Override
    public ArgumentCount argumentCount() {
        return ArgumentCount.exactly(1);
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
        return DataCentreChange.run(invocation, "out");
    }
}
