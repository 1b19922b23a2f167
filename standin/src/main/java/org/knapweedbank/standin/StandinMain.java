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
 * Runs one stand-in as a process: {@code store}, {@code worker} or {@code upstream}. When it is
 * ready it prints one line with its ports. A terminated upstream leaves gracefully.
 */
public final class StandinMain {
    private static final int USAGE_ERROR = 2;
    private static final Duration TICK = Duration.ofMillis(10);
    private static final long START_LIMIT_SECONDS = 10;
    private static final long LEAVE_LIMIT_SECONDS = 60;
    private static final String HOST = "127.0.0.1";

    private StandinMain() {}

    /**
     * Starts the stand-in that the first argument names.
     *
     * @param args sub-command and options
     */
    public static void main(String[] args) {
        try {
            String command = args.length == 0 ? "" : args[0];
            String[] rest = Arrays.copyOfRange(args, Math.min(1, args.length), args.length);
            switch (command) {
                case "store" -> runStore(parse(rest));
                case "worker" -> runWorker(parse(rest));
                case "upstream" -> runUpstream(parse(rest));
                default -> throw new ParseException("accepted are store, worker and upstream");
            }
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println("standin: " + e.getMessage());
            System.exit(USAGE_ERROR);
        } catch (IllegalStateException e) {
            System.err.println("standin: " + e.getMessage());
            System.exit(1);
        }
    }

    /** Options of all sub-commands; each uses those that concern it. */
    private static Options options() {
        Options options = new Options();
        option(options, "host", "address to listen on");
        option(options, "port", "port to listen on, 0 for any");
        option(options, "admin-port", "port for tests, 0 for any");
        option(options, "vm", "worker: id of the VM");
        option(options, "dc", "worker: data centre");
        option(options, "milli-cpu", "worker: processor time in thousandths of a core");
        option(options, "memory-mb", "worker: memory in MiB");
        option(options, "accelerators", "worker: number of accelerators");
        option(options, "usage-lag-millis", "worker: age of usage samples");
        option(options, "service", "upstream: service name");
        option(options, "name", "upstream: name in answers and records");
        option(options, "agent", "upstream: HOST:PORT of the agent's announcement listener");
        option(options, "slots", "upstream: requests at a time");
        option(options, "connections", "upstream: connections announced");
        option(options, "service-millis", "upstream: time that a request takes");
        option(options, "event-millis", "upstream: time between two events");
        option(options, "leave-grace-millis", "upstream: shortest time of a leave");
        return options;
    }

    private static void option(Options options, String name, String description) {
        options.addOption(Option.builder().longOpt(name).hasArg().desc(description).get());
    }

    private static CommandLine parse(String[] args) throws ParseException {
        CommandLine line = new DefaultParser().parse(options(), args);
        if (!line.getArgList().isEmpty()) {
            throw new ParseException("argument is not known: " + line.getArgList().getFirst());
        }
        return line;
    }

    private static int number(CommandLine line, String name, int otherwise) throws ParseException {
        String text = line.getOptionValue(name);
        if (text == null) {
            return otherwise;
        }
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new ParseException("--" + name + " is not a number: " + text);
        }
    }

    private static Duration millis(CommandLine line, String name, int otherwise)
            throws ParseException {
        return Duration.ofMillis(number(line, name, otherwise));
    }

    private static void runStore(CommandLine line) throws ParseException {
        Vertx vertx = Vertx.vertx();
        SystemClock clock = new SystemClock();
        InMemoryStore store = new InMemoryStore(clock);
        String host = line.getOptionValue("host", HOST);
        EtcdGatewayServer server =
                new EtcdGatewayServer(vertx, store, host, number(line, "port", 0));
        server.start();
        server.tickEvery(TICK);
        StoreAdminServer admin = new StoreAdminServer(vertx, store, clock);
        int adminPort = await(admin.start(host, number(line, "admin-port", 0)));
        System.out.println("store ready: port " + server.port() + ", admin port " + adminPort);
    }

    private static void runWorker(CommandLine line) throws ParseException {
        WorkerDescription description =
                new WorkerDescription(
                        new VmId(line.getOptionValue("vm", "vm-1")),
                        new DataCentreId(line.getOptionValue("dc", "dc-1")),
                        new Resources(
                                number(line, "milli-cpu", 32_000),
                                number(line, "memory-mb", 128_000),
                                number(line, "accelerators", 0)),
                        millis(line, "usage-lag-millis", 5000));
        Vertx vertx = Vertx.vertx();
        InMemoryWorker worker = new InMemoryWorker(new SystemClock(), description);
        WorkerServer server =
                new WorkerServer(
                        vertx,
                        worker,
                        line.getOptionValue("host", HOST),
                        number(line, "port", 0),
                        number(line, "admin-port", 0));
        server.start();
        server.tickEvery(TICK);
        System.out.println(
                "worker ready: port " + server.port() + ", admin port " + server.adminPort());
    }

    private static void runUpstream(CommandLine line) throws ParseException {
        UpstreamSettings settings =
                new UpstreamSettings(
                        line.getOptionValue("service", "demo"),
                        line.getOptionValue("name", "upstream-1"),
                        line.getOptionValue("host", HOST),
                        number(line, "port", 0),
                        number(line, "admin-port", 0),
                        number(line, "slots", 8),
                        number(line, "connections", 64),
                        millis(line, "service-millis", 5),
                        millis(line, "event-millis", 200),
                        line.getOptionValue("agent", ""),
                        Duration.ofSeconds(2),
                        millis(line, "leave-grace-millis", 3000));
        Vertx vertx = Vertx.vertx();
        UpstreamServer server = new UpstreamServer(vertx, settings, new SystemClock());
        await(server.start());
        // The hook keeps a terminated process alive until the leave is complete.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> awaitLeave(server)));
        server.left().onComplete(ignored -> vertx.close());
        System.out.println(
                "upstream ready: port " + server.port() + ", admin port " + server.adminPort());
    }

    private static void awaitLeave(UpstreamServer server) {
        try {
            server.leave()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(LEAVE_LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            System.err.println("standin: requests were still running at the end of the leave");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(START_LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("cannot listen: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
