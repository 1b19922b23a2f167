package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.knapweedbank.config.ConfigurationFindings;
import org.knapweedbank.config.ConfigurationParser;
import org.knapweedbank.config.Finding;
import org.knapweedbank.config.ParsedFile;

/**
 * Command that checks local configuration files before they are applied: errors, entries that never
 * match, contradictions, and differences from another version.
 */
final class CheckCommand implements Command {
    @Override
    public String name() {
        return "check";
    }

    @Override
    public String usage() {
        return "BASE [OVERLAY] [--against FILE|SERVER]";
    }

    @Override
    public String summary() {
        return "Checks files for errors, entries that never match, and contradictions.";
    }

    @Override
    public String examples() {
        return String.join(
                "\n",
                "knapweedbank check conf/base.json conf/quito.json",
                "knapweedbank check conf/base.json conf/quito.json --against 10.0.0.5:7480",
                "knapweedbank check conf/base.json conf/quito.json --against in-force.json");
    }

    @Override
    public ArgumentCount argumentCount() {
        return new ArgumentCount(1, 2);
    }

    @Override
    public Options options() {
        return new Options().addOption(CommandOptions.AGAINST);
    }

    @Override
    public boolean needsServer() {
        return false;
    }

    @Override
    public List<ServerAddress> servers(CommandLine commandLine, ClientSettings settings)
            throws UsageException {
        Optional<ComparisonTarget> target = target(commandLine);
        if (target.isEmpty()) {
            return List.of();
        }
        return switch (target.get()) {
            case ComparisonTarget.LocalFile file -> List.of();
            case ComparisonTarget.ConfiguredServers servers -> settings.requireServers();
            case ComparisonTarget.Server server -> List.of(server.address());
        };
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        Optional<ComparisonTarget> target = target(invocation.commandLine());
        LocalConfiguration local = LocalFiles.read(invocation.arguments());
        List<Finding> findings =
                ConfigurationFindings.find(local.base(), local.overlay(), local.merged());
        findings.forEach(finding -> invocation.output().printMessage(finding.toString()));
        if (target.isEmpty() || !local.merged().isAccepted()) {
            print(invocation.output(), findings, Optional.empty());
            return local.merged().isAccepted() ? ExitCode.DONE : ExitCode.REFUSED;
        }
        return switch (compare(invocation, target.get(), local)) {
            case Compared compared -> {
                print(invocation.output(), findings, Optional.of(compared.comparison()));
                yield ExitCode.DONE;
            }
            case NotCompared failure -> {
                print(invocation.output(), findings, Optional.empty());
                yield failure.code();
            }
        };
    }

    /** Result of comparing the files with another version. */
    private sealed interface CompareResult {}

    private record Compared(Comparison comparison) implements CompareResult {}

    /** The other version could not be read; the reason has already been printed. */
    private record NotCompared(ExitCode code) implements CompareResult {}

    private static CompareResult compare(
            Invocation invocation, ComparisonTarget target, LocalConfiguration local)
            throws UsageException {
        return switch (target) {
            case ComparisonTarget.LocalFile file -> compareWithFile(invocation, file, local);
            case ComparisonTarget.ConfiguredServers servers -> compareInForce(invocation, local);
            case ComparisonTarget.Server server -> compareInForce(invocation, local);
        };
    }

    private static CompareResult compareWithFile(
            Invocation invocation, ComparisonTarget.LocalFile file, LocalConfiguration local)
            throws UsageException {
        ParsedFile other =
                new ConfigurationParser()
                        .parseDocument(file.name(), LocalFiles.readFile(file.name()));
        if (!other.isAccepted()) {
            other.errors().forEach(error -> invocation.output().printMessage(error.toString()));
            return new NotCompared(ExitCode.REFUSED);
        }
        return new Compared(
                new Comparison.WithFile(
                        file.name(),
                        DocumentDiff.compare(other.tree(), local.merged().document())));
    }

    private static CompareResult compareInForce(Invocation invocation, LocalConfiguration local) {
        return switch (GenerationReader.read(invocation)) {
            case GenerationReader.Success current ->
                    new Compared(
                            new Comparison.WithGeneration(
                                    current.generation(),
                                    DocumentDiff.compare(
                                            current.document(), local.merged().document())));
            case GenerationReader.Failure failure -> new NotCompared(failure.code());
        };
    }

    private static void print(
            Output output, List<Finding> findings, Optional<Comparison> comparison) {
        long errors = findings.stream().filter(Finding::isError).count();
        if (output.isJson()) {
            ObjectNode result = JsonNodeFactory.instance.objectNode();
            result.put("accepted", errors == 0);
            ArrayNode findingNodes = result.putArray("findings");
            findings.forEach(finding -> findingNodes.add(toJson(finding)));
            comparison.ifPresent(found -> found.addTo(result));
            output.printJson(result);
        } else {
            output.printLine("%d errors, %d warnings".formatted(errors, findings.size() - errors));
            comparison.ifPresent(found -> found.print(output));
        }
    }

    private static ObjectNode toJson(Finding finding) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("kind", finding.kind().text())
                .put("file", finding.place().file())
                .put("line", finding.place().line())
                .put("path", finding.path())
                .put("text", finding.text());
    }

    private static Optional<ComparisonTarget> target(CommandLine commandLine)
            throws UsageException {
        String text = commandLine.getOptionValue(CommandOptions.AGAINST.getLongOpt());
        return text == null ? Optional.empty() : Optional.of(ComparisonTarget.parse(text));
    }
}
