package org.knapweedbank.tools;

import org.apache.commons.cli.Options;

/** Command that lists configuration changes, newest first. */
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
        return "Lists configuration changes, newest first.";
    }

    @Override
    public String examples() {
        return String.join(
                "\n", "knapweedbank audit", "knapweedbank audit --limit 200 --before 1200");
    }

    @Override
    public ArgumentCount argumentCount() {
        return ArgumentCount.exactly(0);
    }

    private static final int DEFAULT_LIMIT = 50;

    @Override
    public Options options() {
        return new Options().addOption(CommandOptions.LIMIT).addOption(CommandOptions.BEFORE);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        Long limit = CommandOptions.parseNumber(invocation.commandLine(), CommandOptions.LIMIT, 1);
        Long before =
                CommandOptions.parseNumber(invocation.commandLine(), CommandOptions.BEFORE, 1);
        String path = "/v1/audit?limit=" + (limit == null ? DEFAULT_LIMIT : limit);
        path += before == null ? "" : "&before=" + before;
        ServerResponse response = invocation.server().call("GET", path, new byte[0]);
        Output output = invocation.output();
        if (!(response instanceof ServerResponse.Received received) || !received.isSuccess()) {
            return FailureReporter.reportFailedRead(output, response);
        }
        if (output.isJson()) {
            output.printJson(received.body());
        } else {
            output.printTable(
                    received.body().path("records"),
                    "generation",
                    "at",
                    "operator",
                    "action",
                    "outcome");
        }
        return ExitCode.DONE;
    }
}
