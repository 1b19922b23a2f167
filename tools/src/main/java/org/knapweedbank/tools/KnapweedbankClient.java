package org.knapweedbank.tools;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.SystemClock;

/** Command-line client for operators. */
public final class KnapweedbankClient {
    private static final String SETTINGS_VARIABLE = "KNAPWEEDBANK_SETTINGS";
    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

    private final PrintStream mOut;
    private final PrintStream mErr;
    private final Map<String, String> mEnvironment;
    private final Clock mClock;
    private final Runnable mPause;

    /**
     * Creates a client.
     *
     * @param out stream for results
     * @param err stream for messages
     * @param environment environment variables
     * @param clock clock that limits the time spent waiting
     * @param pause waits between two polls or attempts
     */
    public KnapweedbankClient(
            PrintStream out,
            PrintStream err,
            Map<String, String> environment,
            Clock clock,
            Runnable pause) {
        mOut = out;
        mErr = err;
        mEnvironment = environment;
        mClock = clock;
        mPause = pause;
    }

    /**
     * Runs a command and exits the process with its exit code.
     *
     * @param args command, arguments and options
     */
    public static void main(String[] args) {
        KnapweedbankClient client =
                new KnapweedbankClient(
                        System.out,
                        System.err,
                        System.getenv(),
                        new SystemClock(),
                        () -> LockSupport.parkNanos(POLL_INTERVAL.toNanos()));
        System.exit(client.run(args).code());
    }

    /**
     * Runs a command.
     *
     * @param args command, arguments and options
     * @return the exit code
     */
    public ExitCode run(String... args) {
        try {
            return run(new DefaultParser().parse(ClientOptions.allOptions(), args));
        } catch (ParseException | UsageException e) {
            mErr.println("knapweedbank: " + e.getMessage());
            mErr.println("run knapweedbank --help for a list of commands and options");
            return ExitCode.USAGE;
        }
    }

    private ExitCode run(CommandLine commandLine) throws UsageException {
        List<String> words = commandLine.getArgList();
        Optional<Command> command = Commands.find(words);
        if (commandLine.hasOption(ClientOptions.HELP.getLongOpt())) {
            mOut.print(command.map(HelpText::forCommand).orElseGet(HelpText::overview));
            return ExitCode.DONE;
        }
        if (command.isEmpty()) {
            String found = words.isEmpty() ? "no command" : "command " + String.join(" ", words);
            throw new UsageException("found " + found + "; accepted: " + Commands.joinNames());
        }
        checkOptions(commandLine, command.get());
        int nameLength = command.get().name().split(" ").length;
        List<String> arguments = new ArrayList<>(words.subList(nameLength, words.size()));
        if (!command.get().argumentCount().accepts(arguments.size())) {
            throw new UsageException(
                    "wrong number of arguments for %s; accepted: %s %s"
                            .formatted(
                                    command.get().name(),
                                    command.get().name(),
                                    command.get().usage()));
        }
        return run(commandLine, command.get(), arguments);
    }

    private ExitCode run(CommandLine commandLine, Command command, List<String> arguments)
            throws UsageException {
        Output output = new Output(mOut, mErr, isJson(commandLine));
        ClientSettings settings = resolveSettings(commandLine);
        List<ServerAddress> servers = command.servers(commandLine, settings);
        try (OperatorServer server =
                new HttpOperatorServer(servers, settings.readKey(), settings.timeout())) {
            return command.run(
                    new Invocation(
                            commandLine,
                            arguments,
                            server,
                            output,
                            mClock,
                            mPause,
                            () -> UUID.randomUUID().toString()));
        }
    }

    private static void checkOptions(CommandLine commandLine, Command command)
            throws UsageException {
        Options commandOptions = command.options();
        Options commonOptions = ClientOptions.commonOptions();
        for (Option option : commandLine.getOptions()) {
            String name = option.getLongOpt();
            if (!commandOptions.hasLongOption(name) && !commonOptions.hasLongOption(name)) {
                throw new UsageException(command.name() + " has no option --" + name);
            }
        }
    }

    private static boolean isJson(CommandLine commandLine) throws UsageException {
        String format = commandLine.getOptionValue(ClientOptions.OUTPUT.getLongOpt(), "table");
        if (!List.of("table", "json").contains(format)) {
            throw new UsageException("--output: found " + format + "; accepted: table, json");
        }
        return format.equals("json");
    }

    private ClientSettings resolveSettings(CommandLine commandLine) throws UsageException {
        ClientSettings fileSettings = readSettingsFile(commandLine);
        List<ServerAddress> servers = new ArrayList<>();
        String[] serverOptions = commandLine.getOptionValues(ClientOptions.SERVER.getLongOpt());
        for (String server :
                serverOptions == null ? List.<String>of() : Arrays.asList(serverOptions)) {
            servers.add(ServerAddress.parse(server));
        }
        String keyFile = commandLine.getOptionValue(ClientOptions.KEY_FILE.getLongOpt());
        String timeout = commandLine.getOptionValue(ClientOptions.TIMEOUT.getLongOpt());
        return new ClientSettings(
                servers.isEmpty() ? fileSettings.servers() : servers,
                keyFile == null ? fileSettings.keyFile() : Optional.of(Path.of(keyFile)),
                timeout == null ? fileSettings.timeout() : ClientSettings.parseTimeout(timeout));
    }

    private ClientSettings readSettingsFile(CommandLine commandLine) throws UsageException {
        String name = commandLine.getOptionValue(ClientOptions.SETTINGS.getLongOpt());
        String fileName = name == null ? mEnvironment.get(SETTINGS_VARIABLE) : name;
        if (fileName != null) {
            return ClientSettings.read(Path.of(fileName));
        }
        Path defaultFile = Path.of(mEnvironment.getOrDefault("HOME", "."), ".knapweedbank.json");
        return Files.exists(defaultFile) ? ClientSettings.read(defaultFile) : ClientSettings.EMPTY;
    }
}
