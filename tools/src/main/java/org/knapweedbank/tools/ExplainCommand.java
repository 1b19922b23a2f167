package org.knapweedbank.tools;

/** Command that explains why a job is waiting. */
final class ExplainCommand implements Command {
    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String usage() {
        return "JOB";
    }

    @Override
    public String summary() {
        return "Explains why a job is waiting.";
    }

    @Override
    public String examples() {
        return String.join("\n", "knapweedbank explain rebalance-7");
    }

    @Override
    public ArgumentCount argumentCount() {
        return ArgumentCount.exactly(1);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        String job = JobOutput.encodePathSegment(invocation.arguments().getFirst());
        ServerResponse response =
                invocation.server().call("GET", "/v1/jobs/" + job + "/explain", new byte[0]);
        Output output = invocation.output();
        if (!(response instanceof ServerResponse.Received received) || !received.isSuccess()) {
            return FailureReporter.reportFailedRead(output, response);
        }
        if (output.isJson()) {
            output.printJson(received.body());
        } else {
            output.printLine(received.body().path("explanation").asText());
        }
        return ExitCode.DONE;
    }
}
