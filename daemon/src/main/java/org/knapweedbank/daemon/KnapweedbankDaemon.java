package org.knapweedbank.daemon;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.Properties;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.entry.operator.OperatorKeys;
import org.knapweedbank.store.etcd.EtcdGatewayStore;
import org.knapweedbank.store.etcd.EtcdSettings;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.SystemClock;
import org.knapweedbank.worker.HttpWorker;
import org.knapweedbank.worker.HttpWorkerSettings;

/** Main class of {@code bin/knapweedbankd}. */
public final class KnapweedbankDaemon {
    /** Exit code after a graceful stop, {@code --help}, {@code --version} or a successful check. */
    public static final int EXIT_OK = 0;

    /** Exit code if the daemon could not start. */
    public static final int EXIT_FAILED = 1;

    /** Exit code if the arguments or the settings are invalid. */
    public static final int EXIT_USAGE = 2;

    private static final Logger LOG = LogManager.getLogger(KnapweedbankDaemon.class);
    private static final int EVENT_LOOP_COUNT = 2;

    /** Time limit of a graceful stop; longer than the drain of either role. */
    private static final Duration STOP_TIMEOUT = Duration.ofMinutes(2);

    private static final String USAGE =
            """
            usage: knapweedbankd --config FILE [--check]
                   knapweedbankd --embedded | --version | --help
              --config FILE  settings file, JSON with comments; "role" is "entry" or "agent"
              --check        check the settings and exit
              --embedded     run entry and agent with in-memory store and worker, for evaluation
              --version      print the version and exit
              --help         print this text and exit
            exit codes: 0 success, 1 the daemon could not start, 2 invalid arguments or settings
            """;

    private KnapweedbankDaemon() {}

    /**
     * Runs the daemon, which stops gracefully on SIGTERM.
     *
     * @param args command-line arguments
     */
    public static void main(String[] args) {
        Optional<Integer> exitCode = run(args, System.out, System.err);
        exitCode.ifPresent(System::exit);
    }

    /**
     * Executes the command line.
     *
     * @param args command-line arguments
     * @param out stream for results
     * @param err stream for errors
     * @return the exit code, or empty if a role was started
     */
    static Optional<Integer> run(String[] args, PrintStream out, PrintStream err) {
        CommandLine commandLine;
        try {
            commandLine = new DefaultParser(false).parse(commandLineOptions(), args);
            if (!commandLine.getArgList().isEmpty()) {
                throw new ParseException(
                        "Unexpected argument: " + commandLine.getArgList().getFirst());
            }
        } catch (ParseException e) {
            return usageError(err, e.getMessage());
        }
        if (commandLine.hasOption("help")) {
            out.print(USAGE);
            return Optional.of(EXIT_OK);
        }
        if (commandLine.hasOption("version")) {
            out.println("knapweedbankd " + readVersion());
            return Optional.of(EXIT_OK);
        }
        if (commandLine.hasOption("embedded")) {
            if (commandLine.hasOption("config") || commandLine.hasOption("check")) {
                return usageError(err, "--embedded cannot be combined with other options");
            }
            return start(KnapweedbankDaemon::createEmbeddedRole);
        }
        if (!commandLine.hasOption("config")) {
            return usageError(err, "either --config FILE or --embedded is required");
        }
        return runWithSettingsFile(
                Path.of(commandLine.getOptionValue("config")), commandLine.hasOption("check"), err);
    }

    private static Optional<Integer> runWithSettingsFile(
            Path file, boolean checkOnly, PrintStream err) {
        switch (SettingsReader.read(file)) {
            case SettingsResult.Rejected rejected -> {
                rejected.errors().forEach(error -> err.println("knapweedbankd: " + error));
                return Optional.of(EXIT_USAGE);
            }
            case SettingsResult.Accepted accepted -> {
                return checkAndStart(accepted.settings(), checkOnly, err);
            }
        }
    }

    private static Optional<Integer> checkAndStart(
            DaemonSettings settings, boolean checkOnly, PrintStream err) {
        switch (settings) {
            case DaemonSettings.Entry entry -> {
                OperatorKeys keys;
                try {
                    keys = OperatorKeys.read(entry.operatorKeys());
                } catch (IOException e) {
                    err.println("knapweedbankd: operatorKeys: " + e.getMessage());
                    return Optional.of(EXIT_USAGE);
                }
                return checkOnly
                        ? Optional.of(EXIT_OK)
                        : start(
                                (vertx, clock, registry) ->
                                        createEntryRole(entry, keys, vertx, clock, registry));
            }
            case DaemonSettings.Agent agent -> {
                return checkOnly
                        ? Optional.of(EXIT_OK)
                        : start(
                                (vertx, clock, registry) ->
                                        createAgentRole(agent, vertx, clock, registry));
            }
        }
    }

    /** Creates a role together with the clients that it needs. */
    @FunctionalInterface
    private interface RoleFactory {
        Role create(Vertx vertx, Clock clock, MetricRegistry registry) throws IOException;
    }

    private static Role createEntryRole(
            DaemonSettings.Entry settings,
            OperatorKeys keys,
            Vertx vertx,
            Clock clock,
            MetricRegistry registry) {
        EtcdGatewayStore store =
                new EtcdGatewayStore(vertx, EtcdSettings.of(settings.storeEndpoints()));
        return new EntryRole(settings, keys, vertx, clock, store, registry);
    }

    private static Role createAgentRole(
            DaemonSettings.Agent settings, Vertx vertx, Clock clock, MetricRegistry registry) {
        int colon = settings.worker().lastIndexOf(':');
        HttpWorker worker =
                new HttpWorker(
                        vertx,
                        HttpWorkerSettings.of(
                                settings.worker().substring(0, colon),
                                Integer.parseInt(settings.worker().substring(colon + 1))));
        return new AgentRole(settings.agent(), vertx, clock, worker, registry);
    }

    private static Role createEmbeddedRole(Vertx vertx, Clock clock, MetricRegistry registry)
            throws IOException {
        return new EmbeddedRole(vertx, clock, registry);
    }

    private static Optional<Integer> start(RoleFactory factory) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOP_COUNT));
        try {
            Role role = factory.create(vertx, new SystemClock(), new MetricRegistry());
            role.start().await().indefinitely();
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(() -> stop(role, vertx), "graceful-stop"));
            LOG.info("[daemon] version {} is running", readVersion());
            return Optional.empty();
        } catch (IOException | RuntimeException e) {
            LOG.error("[daemon] startup failed: {}", e.getMessage());
            LOG.debug("[daemon] cause of the startup failure", e);
            return Optional.of(EXIT_FAILED);
        }
    }

    private static void stop(Role role, Vertx vertx) {
        try {
            role.stop().await().atMost(STOP_TIMEOUT);
            vertx.close().toCompletionStage().toCompletableFuture().join();
            LOG.info("[daemon] stopped");
        } catch (RuntimeException e) {
            LOG.error("[daemon] graceful stop failed: {}", e.getMessage());
        }
        LogManager.shutdown();
    }

    private static Options commandLineOptions() {
        return new Options()
                .addOption(null, "config", true, "settings")
                .addOption(null, "check", false, "check the settings and exit")
                .addOption(null, "embedded", false, "run all roles in one process")
                .addOption(null, "version", false, "print the version and exit")
                .addOption(null, "help", false, "print help and exit");
    }

    private static Optional<Integer> usageError(PrintStream err, String message) {
        err.println("knapweedbankd: " + message);
        err.print(USAGE);
        return Optional.of(EXIT_USAGE);
    }

    private static String readVersion() {
        Properties properties = new Properties();
        try (InputStream in = KnapweedbankDaemon.class.getResourceAsStream("version.properties")) {
            properties.load(in);
        } catch (IOException e) {
            return "unknown";
        }
        return properties.getProperty("version", "unknown");
    }
}
