package org.knapweedbank.tools;

/** Shows a job with its tasks. */
final class JobsShowCommand implements Command {
    @Override
    public String name() {
        return "jobs show";
    }

    @Override
    public String usage() {
        return "JOB";
    }

    @Override
    public String summary() {
        return "Shows a job with its tasks.";
    }

    @Override
    public String examples() {
        return String.join("\n", "knapweedbank jobs show rebalance-7");
    }

    @Override
    public ArgumentCount arguments() {
        return ArgumentCount.exactly(1);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        String path = "/v1/jobs/" + JobOutput.encode(invocation.arguments().getFirst());
        ServerAnswer answer = invocation.server().call("GET", path, new byte[0]);
        Output output = invocation.output();
        if (!(answer instanceof ServerAnswer.Answered answered) || !answered.succeeded()) {
            return Answers.failedRead(output, answer);
        }
        JobOutput.print(output, answered.body());
        if (!output.isJson()) {
            output.line("");
            output.table(
                    answered.body().path("taskList"), "id", "state", "attempt", "vm", "detail");
        }
        if (answered.body().path("tasksOmitted").asLong() > 0) {
            output.message(answered.body().path("tasksOmitted").asLong() + " tasks are left out");
        }
        return ExitCode.DONE;
    }
}
