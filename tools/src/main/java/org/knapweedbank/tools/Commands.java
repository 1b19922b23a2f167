package org.knapweedbank.tools;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** All commands of the client. */
final class Commands {
    static final List<Command> ALL =
            List.of(
                    new ValidateCommand(),
                    new CheckCommand(),
                    new RenderCommand(),
                    new DiffCommand(),
                    new ApplyCommand(),
                    new StatusCommand(),
                    new DcOutCommand(),
                    new DcInCommand(),
                    new JobsSubmitCommand(),
                    new JobsListCommand(),
                    new JobsShowCommand(),
                    new JobsCancelCommand(),
                    new ExplainCommand(),
                    new LogExplainCommand(),
                    new AuditCommand());

    private Commands() {}

    /** Finds the command whose name the words start with. */
    static Optional<Command> find(List<String> words) {
        return ALL.stream()
                .filter(
                        command -> {
                            List<String> name = Arrays.asList(command.name().split(" "));
                            return words.size() >= name.size()
                                    && words.subList(0, name.size()).equals(name);
                        })
                .findFirst();
    }

    static String joinNames() {
        return ALL.stream().map(Command::name).collect(Collectors.joining(", "));
    }
}
