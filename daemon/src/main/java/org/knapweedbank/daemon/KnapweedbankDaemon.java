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
    /** Exit code after a graceful stop, {@code --help}, {@code --version}, or a check passed. */
    public static final int EXIT_OK = 0;

    /** Exit code when the daemon could not start. */
    public static final int EXIT_FAILED = 1;

    /** Exit code for wrong arguments or settings. */
    public static final int EXIT_USAGE = 2;

    private static final Logger LOG = LogManager.getLogger(KnapweedbankDaemon.class);
    private static final int EVENT_LOOPS = 2;

    /** Longer than the drain of either role. */
    private static final Duration STOP_LIMIT = Duration.ofMinutes(2);

    private static final String USAGE =
            """
            usage: knapweedbankd --config FILE [--check]
                   knapweedbankd --embedded | --version | --help
              --config FILE  settings, JSON with comments; "role" is "entry" or "agent"
              --check        check the settings and exit
              --embedded     run an entry, an agent and a platform in memory, for evaluation
              --version      print the version and exit
              --help         print this text and exit
            exit codes: 0 done, 1 the daemon could not start, 2 wrong arguments or settings
            """;

    private KnapweedbankDaemon() {}

    /**
     * Runs the daemon. It stops gracefully on SIGTERM.
     *
     * @param args command-line arguments
     */
    public static void main(String[] args) {
        Optional<Integer> exit = run(args, System.out, System.err);
        exit.ifPresent(System::exit);
    }

    /**
     * Carries out the command line.
     *
     * @param args command-line arguments
     * @param out receives results
     * @param err receives errors
     * @return the exit code, or empty when a role is running
     */
    static Optional<Integer> run(String[] args, PrintStream out, PrintStream err) {
        CommandLine line;
        try {
            line = new DefaultParser(false).parse(options(), args);
            if (!line.getArgList().isEmpty()) {
                throw new ParseException("Unexpected argument: " + line.getArgList().getFirst());
            }
        } catch (ParseException e) {
            return usageError(err, e.getMessage());
        }
        if (line.hasOption("help")) {
            out.print(USAGE);
            return Optional.of(EXIT_OK);
        }
        if (line.hasOption("version")) {
            out.println("knapweedbankd " + version());
            return Optional.of(EXIT_OK);
        }
        if (line.hasOption("embedded")) {
            if (line.hasOption("config") || line.hasOption("check")) {
                return usageError(err, "--embedded takes no other option");
            }
            return start(KnapweedbankDaemon::embedded);
        }
        if (!line.hasOption("config")) {
            return usageError(err, "--config FILE or --embedded is missing");
        }
        return configured(Path.of(line.getOptionValue("config")), line.hasOption("check"), err);
    }

    private static Optional<Integer> configured(Path file, boolean check, PrintStream err) {
        switch (SettingsReader.read(file)) {
            case SettingsResult.Rejected rejected -> {
                rejected.errors().forEach(error -> err.println("knapweedbankd: " + error));
                return Optional.of(EXIT_USAGE);
            }
            case SettingsResult.Accepted accepted -> {
                return checked(accepted.settings(), check, err);
            }
        }
    }

    private static Optional<Integer> checked(
            DaemonSettings settings, boolean check, PrintStream err) {
        switch (settings) {
            case DaemonSettings.Entry entry -> {
                OperatorKeys keys;
                try {
                    keys = OperatorKeys.read(entry.operatorKeys());
                } catch (IOException e) {
                    err.println("knapweedbankd: operatorKeys: " + e.getMessage());
                    return Optional.of(EXIT_USAGE);
                }
                return check
                        ? Optional.of(EXIT_OK)
                        : start(
                                (vertx, clock, registry) ->
                                        entry(entry, keys, vertx, clock, registry));
            }
            case DaemonSettings.Agent agent -> {
                return check
                        ? Optional.of(EXIT_OK)
                        : start((vertx, clock, registry) -> agent(agent, vertx, clock, registry));
            }
        }
    }

    /** Creates the parts of a role. */
    @FunctionalInterface
    private interface RoleFactory {
        Role create(Vertx vertx, Clock clock, MetricRegistry registry) throws IOException;
    }

    private static Role entry(
            DaemonSettings.Entry settings,
            OperatorKeys keys,
            Vertx vertx,
            Clock clock,
            MetricRegistry registry) {
        EtcdGatewayStore store =
                new EtcdGatewayStore(vertx, EtcdSettings.of(settings.storeEndpoints()));
        return new EntryRole(settings, keys, vertx, clock, store, registry);
    }

    private static Role agent(
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

    private static Role embedded(Vertx vertx, Clock clock, MetricRegistry registry)
            throws IOException {
        return new EmbeddedRole(vertx, clock, registry);
    }

    private static Optional<Integer> start(RoleFactory factory) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
        try {
            Role role = factory.create(vertx, new SystemClock(), new MetricRegistry());
            role.start().await().indefinitely();
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(() -> stop(role, vertx), "graceful-stop"));
            LOG.info("[daemon] version {} is running", version());
            return Optional.empty();
        } catch (IOException | RuntimeException e) {
            LOG.error("[daemon] could not start: {}", e.getMessage());
            LOG.debug("[daemon] cause", e);
            return Optional.of(EXIT_FAILED);
        }
    }

    private static void stop(Role role, Vertx vertx) {
        try {
            role.stop().await().atMost(STOP_LIMIT);
            vertx.close().toCompletionStage().toCompletableFuture().join();
            LOG.info("[daemon] stopped");
        } catch (RuntimeException e) {
            LOG.error("[daemon] stop is incomplete: {}", e.getMessage());
        }
        LogManager.shutdown();
    }

    private static Options options() {
        return new Options()
                .addOption(null, "config", true, "settings")
                .addOption(null, "check", false, "check the settings and exit")
                .addOption(null, "embedded", false, "run everything in one process")
                .addOption(null, "version", false, "print the version and exit")
                .addOption(null, "help", false, "print help and exit");
    }

    private static Optional<Integer> usageError(PrintStream err, String message) {
        err.println("knapweedbankd: " + message);
        err.print(USAGE);
        return Optional.of(EXIT_USAGE);
    }

    private static String version() {
        Properties properties = new Properties();
        try (InputStream in = KnapweedbankDaemon.class.getResourceAsStream("version.properties")) {
            properties.load(in);
        } catch (IOException e) {
            return "unknown";
        }
        return properties.getProperty("version", "unknown");
    }
}
