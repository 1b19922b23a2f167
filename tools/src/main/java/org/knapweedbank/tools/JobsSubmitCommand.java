package org.knapweedbank.tools;

import java.nio.charset.StandardCharsets;
import org.knapweedbank.config.ConfigurationParser;
import org.knapweedbank.config.ParsedFile;

/** Submits the job that a file describes. */
final class JobsSubmitCommand implements Command {
    @Override
    public String name() {
        return "jobs submit";
    }

    @Override
    public String usage() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Submits the job that a file describes.";
    }

    @Override
    public String examples() {
        return String.join("\n", "knapweedbank jobs submit rebalance.json");
    }

    @Override
    public ArgumentCount arguments() {
        return ArgumentCount.exactly(1);
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        Output output = invocation.output();
        String file = invocation.arguments().getFirst();
        ParsedFile job = new ConfigurationParser().parseJob(file, LocalFiles.read(file));
        if (!job.isAccepted()) {
            job.errors().forEach(error -> output.message(error.toString()));
            return ExitCode.REFUSED;
        }
        // A repeat of the same job is idempotent, so a lost answer is read back by a repeat.
        byte[] body = job.tree().toString().getBytes(StandardCharsets.UTF_8);
        ServerAnswer answer = ChangeSender.send(invocation, "/v1/jobs", body);
        if (!(answer instanceof ServerAnswer.Answered answered) || !answered.succeeded()) {
            return Answers.failedChange(output, answer);
        }
        JobOutput.print(output, answered.body());
        return ExitCode.DONE;
    }
}
