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

/** Command that explains the course of a request from the decision logs of the processes. */
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
        return "Explains the course of a request from log files or standard input.";
    }

    @Override
    public String examples() {
        return String.join(
                "\n",
                "knapweedbank log explain f8ca32108b9d9876 entry.log agent.log",
                "cat *.log | knapweedbank log explain f8ca32108b9d9876 --output json");
    }

    @Override
    public ArgumentCount argumentCount() {
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
        RequestTimeline timeline = RequestTimeline.of(job, readLogs(job, files));
        Output output = invocation.output();
        if (timeline.lines().isEmpty()) {
            output.printMessage("no line is about " + job);
            return ExitCode.REFUSED;
        }
        if (output.isJson()) {
            output.printJson(toJson(timeline));
        } else {
            print(timeline, output);
        }
        return ExitCode.DONE;
    }

    private static List<LogLine> readLogs(String job, List<String> files) throws UsageException {
        List<LogLine> lines = new ArrayList<>();
        if (files.isEmpty()) {
            try {
                readRelevantLines(
                        job, new InputStreamReader(System.in, StandardCharsets.UTF_8), lines);
            } catch (IOException e) {
                throw new UsageException("standard input cannot be read: " + e);
            }
        }
        for (String file : files) {
            try (var reader = Files.newBufferedReader(Path.of(file))) {
                readRelevantLines(job, reader, lines);
            } catch (IOException e) {
                throw new UsageException(file + " cannot be read: " + e);
            }
        }
        return lines;
    }

    /** Keeps only the lines that can be part of the timeline, because logs are large. */
    private static void readRelevantLines(String job, Reader reader, List<LogLine> lines)
            throws IOException {
        BufferedReader bufferedReader = new BufferedReader(reader);
        for (String text = bufferedReader.readLine();
                text != null;
                text = bufferedReader.readLine()) {
            LogLine.parse(text)
                    .filter(line -> line.isAbout(job) || RequestTimeline.isContextEvent(line))
                    .ifPresent(lines::add);
        }
    }

    private static void print(RequestTimeline timeline, Output output) {
        for (LogLine line : timeline.lines()) {
            output.printLine(
                    "%12s  %s  %s %s  %s"
                            .formatted(
                                    timeline.formatOffset(line),
                                    line.node(),
                                    line.event(),
                                    line.subject(),
                                    line.details())
                            .stripTrailing());
        }
        output.printLine("");
        timeline.causes().forEach(cause -> output.printLine("- " + cause));
    }

    private static ObjectNode toJson(RequestTimeline timeline) {
        ObjectNode result = JsonNodeFactory.instance.objectNode().put("request", timeline.job());
        timeline.lines().forEach(line -> result.withArray("lines").add(line.fields()));
        timeline.causes().forEach(cause -> result.withArray("causes").add(cause));
        return result;
    }
}
