package org.knapweedbank.daemon;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.agent.AgentSettings;
import org.knapweedbank.config.ChangeRequest;
import org.knapweedbank.control.ControlSettings;
import org.knapweedbank.entry.CallerLimits;
import org.knapweedbank.entry.ListenAddress;
import org.knapweedbank.entry.operator.OperatorKeys;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;
import org.knapweedbank.ring.DutyThread;
import org.knapweedbank.standin.InMemoryStore;
import org.knapweedbank.standin.InMemoryWorker;
import org.knapweedbank.standin.WorkerDescription;
import org.knapweedbank.time.Clock;

/**
 * Runs an entry and an agent in one process, for evaluation, with a store and a worker that keep
 * all data in memory. All data is lost when the process ends.
 */
final class EmbeddedRole implements Role {
    private static final Logger LOG = LogManager.getLogger(EmbeddedRole.class);
    private static final String LOOPBACK_HOST = "127.0.0.1";
    private static final int CALLER_PORT = 8080;
    private static final int FRAME_PORT = 7400;
    private static final int OPERATOR_PORT = 7480;
    private static final int DATA_PORT = 7500;
    private static final int ANNOUNCE_PORT = 7501;
    private static final int KEY_BYTES = 24;
    private static final DataCentreId DATA_CENTRE = new DataCentreId("local-1");
    private static final VmId VM = new VmId("vm-1");
    private static final Resources CAPACITY = new Resources(16_000, 64_000, 2);
    private static final Duration PLATFORM_TICK_INTERVAL = Duration.ofMillis(5);
    private static final int PLATFORM_QUEUE_CAPACITY = 64;

    private final EntryRole mEntry;
    private final AgentRole mAgent;
    private final DutyThread mPlatformThread;
    private final Path mOperatorKeyFile;

    /**
     * Creates the roles, which listen on fixed loopback ports.
     *
     * @param vertx Vert.x instance whose event loops are used
     * @param clock clock of all parts
     * @param registry registry for metrics
     * @throws IOException if the file for the operator's key cannot be written
     */
    EmbeddedRole(Vertx vertx, Clock clock, MetricRegistry registry) throws IOException {
        InMemoryStore store = new InMemoryStore(clock);
        InMemoryWorker worker =
                new InMemoryWorker(
                        clock,
                        new WorkerDescription(VM, DATA_CENTRE, CAPACITY, Duration.ofSeconds(5)));
        mOperatorKeyFile = writeOperatorKeyFile();
        DaemonSettings.Entry entrySettings =
                new DaemonSettings.Entry(
                        new DaemonId("entry-1"),
                        DATA_CENTRE,
                        LOOPBACK_HOST,
                        new ListenAddress(LOOPBACK_HOST, CALLER_PORT),
                        new ListenAddress(LOOPBACK_HOST, FRAME_PORT),
                        new ListenAddress(LOOPBACK_HOST, OPERATOR_PORT),
                        mOperatorKeyFile,
                        List.of(),
                        CallerLimits.DEFAULT,
                        ControlSettings.defaults(),
                        Duration.ZERO,
                        Duration.ofSeconds(10));
        mEntry =
                new EntryRole(
                        entrySettings,
                        OperatorKeys.read(mOperatorKeyFile),
                        vertx,
                        clock,
                        store,
                        registry);
        AgentSettings agentSettings =
                new AgentSettings(
                        new DaemonId("agent-1"),
                        VM,
                        "local",
                        DATA_CENTRE,
                        "rack-1",
                        CAPACITY,
                        LOOPBACK_HOST,
                        DATA_PORT,
                        ANNOUNCE_PORT,
                        List.of(LOOPBACK_HOST + ":" + FRAME_PORT));
        mAgent = new AgentRole(agentSettings, vertx, clock, worker, registry);
        mPlatformThread =
                new DutyThread(
                        "platform",
                        PLATFORM_QUEUE_CAPACITY,
                        () -> {
                            store.tick();
                            worker.tick();
                        },
                        PLATFORM_TICK_INTERVAL);
    }

    @Override
    public Uni<Void> start() {
        mPlatformThread.start();
        return mEntry.start()
                .chain(this::applyConfiguration)
                .chain(mAgent::start)
                .invoke(
                        () ->
                                LOG.info(
                                        "[daemon] callers: http://{}:{}/s/echo/, operators:"
                                                + " http://{}:{}/v1/, announcements: http://{}:{},"
                                                + " operator key in {}",
                                        LOOPBACK_HOST,
                                        CALLER_PORT,
                                        LOOPBACK_HOST,
                                        OPERATOR_PORT,
                                        LOOPBACK_HOST,
                                        ANNOUNCE_PORT,
                                        mOperatorKeyFile));
    }

    @Override
    public Uni<Void> stop() {
        return mAgent.stop()
                .chain(mEntry::stop)
                .invoke(
                        () -> {
                            mPlatformThread.close();
                            deleteOperatorKeyFile();
                        });
    }

    private Uni<Void> applyConfiguration() {
        return Uni.createFrom()
                .item(EmbeddedRole::loadConfiguration)
                .chain(
                        document ->
                                mEntry.configurationStore()
                                        .apply(
                                                new ChangeRequest(
                                                        "embedded", OptionalLong.of(0), "", false),
                                                document))
                .invoke(
                        result ->
                                LOG.info(
                                        "[daemon] result of applying the configuration: {}",
                                        result))
                .replaceWithVoid();
    }

    private static byte[] loadConfiguration() {
        try (InputStream in = EmbeddedRole.class.getResourceAsStream("embedded.json")) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Writes a random key to a temporary directory, which only its owner can access. */
    private static Path writeOperatorKeyFile() throws IOException {
        byte[] key = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(key);
        Path file = Files.createTempDirectory("knapweedbank-").resolve("operator-keys");
        Files.writeString(file, "operator:" + HexFormat.of().formatHex(key) + "\n");
        return file;
    }

    private void deleteOperatorKeyFile() {
        try {
            Files.deleteIfExists(mOperatorKeyFile);
            Files.deleteIfExists(mOperatorKeyFile.getParent());
        } catch (IOException e) {
            LOG.warn(
                    "[daemon] operator key file {} not deleted: {}",
                    mOperatorKeyFile,
                    e.getMessage());
        }
    }
}
