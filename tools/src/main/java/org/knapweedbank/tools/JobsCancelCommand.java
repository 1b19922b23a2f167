package org.knapweedbank.tools;

/** Cancels a job. */
final class JobsCancelCommand implements Command {
    @Override
    public String name() {
        return "jobs cancel";
    }

    @Override
    public String usage() {
        return "JOB";
    }

    @Override
    public String summary() {
        return "Cancels a job.";
    }

    @Override
    public String examples() {
        return String.join("\n", "knapweedbank jobs cancel rebalance-7");
    }

    @Override
    public ArgumentCount arguments() {
        return ArgumentCount.exactly(1);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        String job = invocation.arguments().getFirst();
        String path = "/v1/jobs/" + JobOutput.encode(job);
        Output output = invocation.output();
        ServerAnswer answer = invocation.server().call("DELETE", path, new byte[0]);
        if (answer instanceof ServerAnswer.Answered answered && answered.succeeded()) {
            JobOutput.print(output, answered.body());
            return ExitCode.DONE;
        }
        if (!answer.outcomeUnknown()) {
            return Answers.failedChange(output, answer);
        }
        output.message("no answer to the cancellation; reading its outcome back");
        invocation.pause().run();
        ServerAnswer shown = invocation.server().call("GET", path, new byte[0]);
        if (shown instanceof ServerAnswer.Answered answered && answered.succeeded()) {
            String state = answered.body().path("state").asText();
            output.message("job " + job + " is " + state);
            return state.equals("cancelled") ? ExitCode.DONE : ExitCode.UNKNOWN;
        }
        return Answers.failedChange(output, answer);
    }
}
