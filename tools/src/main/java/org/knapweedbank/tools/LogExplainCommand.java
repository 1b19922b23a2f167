package org.knapweedbank.tools;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Tells what became of a request on the platform, from the logs of the processes. */
final class LogExplainCommand implements Command {
    @Override
    public String name() {
        return "log explain";
    }

    @Override
    public String usage() {
        return "REQUEST-ID [FILE...]";
    }

    @Override
    public String summary() {
        return "Tells the story of a request from log files or standard input.";
    }

    @Override
    public String examples() {
        return String.join(
                "\n",
                "knapweedbank log explain f8ca32108b9d9876 entry.log agent.log",
                "cat *.log | knapweedbank log explain f8ca32108b9d9876 --output json");
    }

    @Override
    public ArgumentCount arguments() {
        return new ArgumentCount(1, Integer.MAX_VALUE);
    }

    @Override
    public boolean needsServer() {
        return false;
    }

    @Override
    public ExitCode run(Invocation invocation) throws UsageException {
        String job = invocation.arguments().getFirst();
        List<String> files = invocation.arguments().subList(1, invocation.arguments().size());
        RequestStory story = RequestStory.of(job, read(job, files));
        Output output = invocation.output();
        if (story.lines().isEmpty()) {
            output.message("no line is about " + job);
            return ExitCode.REFUSED;
        }
        if (output.isJson()) {
            output.json(json(story));
        } else {
            print(story, output);
        }
        return ExitCode.DONE;
    }

    private static List<LogLine> read(String job, List<String> files) throws UsageException {
        List<LogLine> lines = new ArrayList<>();
        if (files.isEmpty()) {
            try {
                read(job, new InputStreamReader(System.in, StandardCharsets.UTF_8), lines);
            } catch (IOException e) {
                throw new UsageException("standard input cannot be read: " + e);
            }
        }
        for (String file : files) {
            try (var reader = Files.newBufferedReader(Path.of(file))) {
                read(job, reader, lines);
            } catch (IOException e) {
                throw new UsageException(file + " cannot be read: " + e);
            }
        }
        return lines;
    }

    /** Keeps only what can be part of the story, as logs are large. */
    private static void read(String job, Reader reader, List<LogLine> lines) throws IOException {
        BufferedReader buffered = new BufferedReader(reader);
        for (String text = buffered.readLine(); text != null; text = buffered.readLine()) {
            LogLine.parse(text)
                    .filter(line -> line.isAbout(job) || RequestStory.isChange(line))
                    .ifPresent(lines::add);
        }
    }

    private static void print(RequestStory story, Output output) {
        for (LogLine line : story.lines()) {
            output.line(
                    "%12s  %s  %s %s  %s"
                            .formatted(
                                    story.offset(line),
                                    line.node(),
                                    line.event(),
                                    line.subject(),
                                    line.details())
                            .stripTrailing());
        }
        output.line("");
        story.causes().forEach(cause -> output.line("- " + cause));
    }

    private static ObjectNode json(RequestStory story) {
        ObjectNode result = JsonNodeFactory.instance.objectNode().put("request", story.job());
        story.lines().forEach(line -> result.withArray("lines").add(line.fields()));
        story.causes().forEach(cause -> result.withArray("causes").add(cause));
        return result;
    }
}
