package org.knapweedbank.tools;

import org.apache.commons.cli.Options;

/** Lists the changes of the configuration, the newest first. */
final class AuditCommand implements Command {
    @Override
    public String name() {
        return "audit";
    }

    @Override
    public String usage() {
        return "[--limit COUNT] [--before GENERATION]";
    }

    @Override
    public String summary() {
        return "Lists the changes of the configuration, the newest first.";
    }

    @Override
    public String examples() {
        return String.join(
                "\n", "knapweedbank audit", "knapweedbank audit --limit 200 --before 1200");
    }

    @Override
    public ArgumentCount arguments() {
        return ArgumentCount.exactly(0);
    }

    private static final int DEFAULT_LIMIT = 50;

    @Override
    public Options options() {
        return new Options().addOption(CommandOptions.LIMIT).addOption(CommandOptions.BEFORE);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        Long limit = CommandOptions.number(invocation.line(), CommandOptions.LIMIT, 1);
        Long before = CommandOptions.number(invocation.line(), CommandOptions.BEFORE, 1);
        String path = "/v1/audit?limit=" + (limit == null ? DEFAULT_LIMIT : limit);
        path += before == null ? "" : "&before=" + before;
        ServerAnswer answer = invocation.server().call("GET", path, new byte[0]);
        Output output = invocation.output();
        if (!(answer instanceof ServerAnswer.Answered answered) || !answered.succeeded()) {
            return Answers.failedRead(output, answer);
        }
        if (output.isJson()) {
            output.json(answered.body());
        } else {
            output.table(
                    answered.body().path("records"),
                    "generation",
                    "at",
                    "operator",
                    "action",
                    "outcome");
        }
        return ExitCode.DONE;
    }
}
