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

/** Operators' command-line client. */
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
     * @param out results
     * @param err messages
     * @param environment environment variables
     * @param clock clock of waiting
     * @param pause waits for a short time between two polls
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
     * Runs a command and ends the process with its exit code.
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
            return run(new DefaultParser().parse(ClientOptions.all(), args));
        } catch (ParseException | UsageException e) {
            mErr.println("knapweedbank: " + e.getMessage());
            mErr.println("knapweedbank --help lists commands and options");
            return ExitCode.USAGE;
        }
    }

    private ExitCode run(CommandLine line) throws UsageException {
        List<String> words = line.getArgList();
        Optional<Command> command = Commands.find(words);
        if (line.hasOption(ClientOptions.HELP.getLongOpt())) {
            mOut.print(command.map(HelpText::of).orElseGet(HelpText::overview));
            return ExitCode.DONE;
        }
        if (command.isEmpty()) {
            String found = words.isEmpty() ? "no command" : "command " + String.join(" ", words);
            throw new UsageException("found " + found + "; accepted: " + Commands.names());
        }
        checkOptions(line, command.get());
        int nameLength = command.get().name().split(" ").length;
        List<String> arguments = new ArrayList<>(words.subList(nameLength, words.size()));
        if (!command.get().arguments().accepts(arguments.size())) {
            throw new UsageException(
                    "%s takes other arguments; accepted: %s %s"
                            .formatted(
                                    command.get().name(),
                                    command.get().name(),
                                    command.get().usage()));
        }
        return run(line, command.get(), arguments);
    }

    private ExitCode run(CommandLine line, Command command, List<String> arguments)
            throws UsageException {
        Output output = new Output(mOut, mErr, isJson(line));
        ClientSettings settings = settings(line);
        if (command.needsServer() && settings.servers().isEmpty()) {
            throw new UsageException(
                    "no server; accepted: --server HOST:PORT or a settings file with servers");
        }
        try (OperatorServer server =
                new HttpOperatorServer(settings.servers(), settings.key(), settings.timeout())) {
            return command.run(
                    new Invocation(
                            line,
                            arguments,
                            server,
                            output,
                            mClock,
                            mPause,
                            () -> UUID.randomUUID().toString()));
        }
    }

    private static void checkOptions(CommandLine line, Command command) throws UsageException {
        Options own = command.options();
        Options common = ClientOptions.common();
        for (Option option : line.getOptions()) {
            String name = option.getLongOpt();
            if (!own.hasLongOption(name) && !common.hasLongOption(name)) {
                throw new UsageException(command.name() + " has no option --" + name);
            }
        }
    }

    private static boolean isJson(CommandLine line) throws UsageException {
        String format = line.getOptionValue(ClientOptions.OUTPUT.getLongOpt(), "table");
        if (!List.of("table", "json").contains(format)) {
            throw new UsageException("--output: found " + format + "; accepted: table, json");
        }
        return format.equals("json");
    }

    private ClientSettings settings(CommandLine line) throws UsageException {
        ClientSettings file = settingsFile(line);
        List<ServerAddress> servers = new ArrayList<>();
        String[] given = line.getOptionValues(ClientOptions.SERVER.getLongOpt());
        for (String server : given == null ? List.<String>of() : Arrays.asList(given)) {
            servers.add(ServerAddress.parse(server));
        }
        String keyFile = line.getOptionValue(ClientOptions.KEY_FILE.getLongOpt());
        String timeout = line.getOptionValue(ClientOptions.TIMEOUT.getLongOpt());
        return new ClientSettings(
                servers.isEmpty() ? file.servers() : servers,
                keyFile == null ? file.keyFile() : Optional.of(Path.of(keyFile)),
                timeout == null ? file.timeout() : ClientSettings.seconds(timeout));
    }

    private ClientSettings settingsFile(CommandLine line) throws UsageException {
        String name = line.getOptionValue(ClientOptions.SETTINGS.getLongOpt());
        String named = name == null ? mEnvironment.get(SETTINGS_VARIABLE) : name;
        if (named != null) {
            return ClientSettings.read(Path.of(named));
        }
        Path usual = Path.of(mEnvironment.getOrDefault("HOME", "."), ".knapweedbank.json");
        return Files.exists(usual) ? ClientSettings.read(usual) : ClientSettings.EMPTY;
    }
}
