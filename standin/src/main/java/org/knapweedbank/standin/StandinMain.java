package org.knapweedbank.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;
import org.knapweedbank.time.SystemClock;

/**
 * Runs one simulated service as a process: {@code store}, {@code worker} or {@code upstream}. When
 * the service is ready, the process prints one line with its ports. An upstream that receives a
 * termination signal completes a graceful leave before it exits.
 */
public final class StandinMain {
    private static final int EXIT_USAGE_ERROR = 2;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);
    private static final long START_TIMEOUT_SECONDS = 10;
    private static final long LEAVE_TIMEOUT_SECONDS = 60;
    private static final String DEFAULT_HOST = "127.0.0.1";

    private StandinMain() {}

    /**
     * Starts the service that the first argument names.
     *
     * @param args subcommand, followed by its options
     */
    public static void main(String[] args) {
        try {
            String command = args.length == 0 ? "" : args[0];
            String[] optionArgs = Arrays.copyOfRange(args, Math.min(1, args.length), args.length);
            switch (command) {
                case "store" -> runStore(parse(optionArgs));
                case "worker" -> runWorker(parse(optionArgs));
                case "upstream" -> runUpstream(parse(optionArgs));
                default ->
                        throw new ParseException(
                                "unknown subcommand; expected store, worker or upstream");
            }
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println("standin: " + e.getMessage());
            System.exit(EXIT_USAGE_ERROR);
        } catch (IllegalStateException e) {
            System.err.println("standin: " + e.getMessage());
            System.exit(1);
        }
    }

    /** Returns the options of all subcommands. A subcommand ignores the options of the others. */
    private static Options options() {
        Options options = new Options();
        addOption(options, "host", "address to listen on");
        addOption(options, "port", "port to listen on, 0 for any free port");
        addOption(options, "admin-port", "port of the admin interface, 0 for any free port");
        addOption(options, "vm", "worker: id of the VM");
        addOption(options, "dc", "worker: id of the data centre");
        addOption(options, "milli-cpu", "worker: CPU capacity in thousandths of a core");
        addOption(options, "memory-mb", "worker: memory capacity in MiB");
        addOption(options, "accelerators", "worker: number of accelerators");
        addOption(options, "usage-lag-millis", "worker: age of usage samples in milliseconds");
        addOption(options, "service", "upstream: service name");
        addOption(options, "name", "upstream: name in responses and execution records");
        addOption(options, "agent", "upstream: HOST:PORT of the agent's announcement listener");
        addOption(options, "slots", "upstream: maximum number of concurrent requests");
        addOption(options, "connections", "upstream: announced maximum number of connections");
        addOption(options, "service-millis", "upstream: service time of a request in milliseconds");
        addOption(
                options,
                "event-millis",
                "upstream: time between two events of a stream, in milliseconds");
        addOption(
                options,
                "leave-grace-millis",
                "upstream: minimum duration of a leave in milliseconds");
        return options;
    }

    private static void addOption(Options options, String name, String description) {
        options.addOption(Option.builder().longOpt(name).hasArg().desc(description).get());
    }

    private static CommandLine parse(String[] args) throws ParseException {
        CommandLine commandLine = new DefaultParser().parse(options(), args);
        if (!commandLine.getArgList().isEmpty()) {
            throw new ParseException("unknown argument: " + commandLine.getArgList().getFirst());
        }
        return commandLine;
    }

    private static int intOption(CommandLine commandLine, String name, int defaultValue)
            throws ParseException {
        String value = commandLine.getOptionValue(name);
        if (value == null) {
            return defaultValue;
        }
        try {
            return Integer.parseInt(value);
        } catch (NumberFormatException e) {
            throw new ParseException("--" + name + " is not an integer: " + value);
        }
    }

    private static Duration durationOption(CommandLine commandLine, String name, int defaultMillis)
            throws ParseException {
        return Duration.ofMillis(intOption(commandLine, name, defaultMillis));
    }

    private static void runStore(CommandLine commandLine) throws ParseException {
        Vertx vertx = Vertx.vertx();
        SystemClock clock = new SystemClock();
        InMemoryStore store = new InMemoryStore(clock);
        String host = commandLine.getOptionValue("host", DEFAULT_HOST);
        EtcdGatewayServer server =
                new EtcdGatewayServer(vertx, store, host, intOption(commandLine, "port", 0));
        server.start();
        server.scheduleTicks(TICK_INTERVAL);
        StoreAdminServer admin = new StoreAdminServer(vertx, store, clock);
        int adminPort = await(admin.start(host, intOption(commandLine, "admin-port", 0)));
        System.out.println("store ready: port " + server.port() + ", admin port " + adminPort);
    }

    private static void runWorker(CommandLine commandLine) throws ParseException {
        WorkerDescription description =
                new WorkerDescription(
                        new VmId(commandLine.getOptionValue("vm", "vm-1")),
                        new DataCentreId(commandLine.getOptionValue("dc", "dc-1")),
                        new Resources(
                                intOption(commandLine, "milli-cpu", 32_000),
                                intOption(commandLine, "memory-mb", 128_000),
                                intOption(commandLine, "accelerators", 0)),
                        durationOption(commandLine, "usage-lag-millis", 5000));
        Vertx vertx = Vertx.vertx();
        InMemoryWorker worker = new InMemoryWorker(new SystemClock(), description);
        WorkerServer server =
                new WorkerServer(
                        vertx,
                        worker,
                        commandLine.getOptionValue("host", DEFAULT_HOST),
                        intOption(commandLine, "port", 0),
                        intOption(commandLine, "admin-port", 0));
        server.start();
        server.scheduleTicks(TICK_INTERVAL);
        System.out.println(
                "worker ready: port " + server.port() + ", admin port " + server.adminPort());
    }

    private static void runUpstream(CommandLine commandLine) throws ParseException {
        UpstreamSettings settings =
                new UpstreamSettings(
                        commandLine.getOptionValue("service", "demo"),
                        commandLine.getOptionValue("name", "upstream-1"),
                        commandLine.getOptionValue("host", DEFAULT_HOST),
                        intOption(commandLine, "port", 0),
                        intOption(commandLine, "admin-port", 0),
                        intOption(commandLine, "slots", 8),
                        intOption(commandLine, "connections", 64),
                        durationOption(commandLine, "service-millis", 5),
                        durationOption(commandLine, "event-millis", 200),
                        commandLine.getOptionValue("agent", ""),
                        Duration.ofSeconds(2),
                        durationOption(commandLine, "leave-grace-millis", 3000));
        Vertx vertx = Vertx.vertx();
        UpstreamServer server = new UpstreamServer(vertx, settings, new SystemClock());
        await(server.start());
        // The hook keeps a terminated process alive until its graceful leave is complete.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> awaitLeave(server)));
        server.termination().onComplete(ignored -> vertx.close());
        System.out.println(
                "upstream ready: port " + server.port() + ", admin port " + server.adminPort());
    }

    private static void awaitLeave(UpstreamServer server) {
        try {
            server.leave()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(LEAVE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            System.err.println(
                    "standin: graceful leave timed out while requests were still running");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("cannot start listening: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
