package org.knapweedbank.tools;

/** Command that shows a job with its tasks. */
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
    public ArgumentCount argumentCount() {
        return ArgumentCount.exactly(1);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        String path = "/v1/jobs/" + JobOutput.encodePathSegment(invocation.arguments().getFirst());
        ServerResponse response = invocation.server().call("GET", path, new byte[0]);
        Output output = invocation.output();
        if (!(response instanceof ServerResponse.Received received) || !received.isSuccess()) {
            return FailureReporter.reportFailedRead(output, response);
        }
        JobOutput.print(output, received.body());
        if (!output.isJson()) {
            output.printLine("");
            output.printTable(
                    received.body().path("taskList"), "id", "state", "attempt", "vm", "detail");
        }
        if (received.body().path("tasksOmitted").asLong() > 0) {
            output.printMessage(
                    received.body().path("tasksOmitted").asLong() + " tasks are left out");
        }
        return ExitCode.DONE;
    }
}
