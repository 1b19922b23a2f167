package org.knapweedbank.tools;

/** Explains why a job waits. */
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
        return "Explains why a job waits.";
    }

    @Override
    public String examples() {
        return String.join("\n", "knapweedbank explain rebalance-7");
    }

    @Override
    public ArgumentCount arguments() {
        return ArgumentCount.exactly(1);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        String job = JobOutput.encode(invocation.arguments().getFirst());
        ServerAnswer answer =
                invocation.server().call("GET", "/v1/jobs/" + job + "/explain", new byte[0]);
        Output output = invocation.output();
        if (!(answer instanceof ServerAnswer.Answered answered) || !answered.succeeded()) {
            return Answers.failedRead(output, answer);
        }
        if (output.isJson()) {
            output.json(answered.body());
        } else {
            output.line(answered.body().path("explanation").asText());
        }
        return ExitCode.DONE;
    }
}
