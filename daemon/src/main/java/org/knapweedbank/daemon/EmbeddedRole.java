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
 * Entry, agent and a platform in memory in one process, for evaluation. Nothing survives the end of
 * the process.
 */
final class EmbeddedRole implements Role {
    private static final Logger LOG = LogManager.getLogger(EmbeddedRole.class);
    private static final String HOST = "127.0.0.1";
    private static final int CALLER_PORT = 8080;
    private static final int FRAME_PORT = 7400;
    private static final int OPERATOR_PORT = 7480;
    private static final int DATA_PORT = 7500;
    private static final int ANNOUNCE_PORT = 7501;
    private static final int KEY_BYTES = 24;
    private static final DataCentreId DATA_CENTRE = new DataCentreId("local-1");
    private static final VmId VM = new VmId("vm-1");
    private static final Resources CAPACITY = new Resources(16_000, 64_000, 2);
    private static final Duration PLATFORM_STEP = Duration.ofMillis(5);
    private static final int PLATFORM_RING = 64;

    private final EntryRole mEntry;
    private final AgentRole mAgent;
    private final DutyThread mPlatform;
    private final Path mKeyFile;

    /**
     * Creates the roles on fixed loopback ports.
     *
     * @param vertx event loops
     * @param clock clock
     * @param registry receives the metrics
     * @throws IOException when the file with the operator's key cannot be written
     */
    EmbeddedRole(Vertx vertx, Clock clock, MetricRegistry registry) throws IOException {
        InMemoryStore store = new InMemoryStore(clock);
        InMemoryWorker worker =
                new InMemoryWorker(
                        clock,
                        new WorkerDescription(VM, DATA_CENTRE, CAPACITY, Duration.ofSeconds(5)));
        mKeyFile = writeKey();
        DaemonSettings.Entry settings =
                new DaemonSettings.Entry(
                        new DaemonId("entry-1"),
                        DATA_CENTRE,
                        HOST,
                        new ListenAddress(HOST, CALLER_PORT),
                        new ListenAddress(HOST, FRAME_PORT),
                        new ListenAddress(HOST, OPERATOR_PORT),
                        mKeyFile,
                        List.of(),
                        CallerLimits.DEFAULT,
                        ControlSettings.defaults(),
                        Duration.ZERO,
                        Duration.ofSeconds(10));
        mEntry =
                new EntryRole(settings, OperatorKeys.read(mKeyFile), vertx, clock, store, registry);
        AgentSettings agent =
                new AgentSettings(
                        new DaemonId("agent-1"),
                        VM,
                        "local",
                        DATA_CENTRE,
                        "rack-1",
                        CAPACITY,
                        HOST,
                        DATA_PORT,
                        ANNOUNCE_PORT,
                        List.of(HOST + ":" + FRAME_PORT));
        mAgent = new AgentRole(agent, vertx, clock, worker, registry);
        mPlatform =
                new DutyThread(
                        "platform",
                        PLATFORM_RING,
                        () -> {
                            store.tick();
                            worker.tick();
                        },
                        PLATFORM_STEP);
    }

    @Override
    public Uni<Void> start() {
        mPlatform.start();
        return mEntry.start()
                .chain(this::applyConfiguration)
                .chain(mAgent::start)
                .invoke(
                        () ->
                                LOG.info(
                                        "[daemon] callers: http://{}:{}/s/echo/, operators:"
                                                + " http://{}:{}/v1/, announcements: http://{}:{},"
                                                + " operator key in {}",
                                        HOST,
                                        CALLER_PORT,
                                        HOST,
                                        OPERATOR_PORT,
                                        HOST,
                                        ANNOUNCE_PORT,
                                        mKeyFile));
    }

    @Override
    public Uni<Void> stop() {
        return mAgent.stop()
                .chain(mEntry::stop)
                .invoke(
                        () -> {
                            mPlatform.close();
                            deleteKey();
                        });
    }

    private Uni<Void> applyConfiguration() {
        return Uni.createFrom()
                .item(EmbeddedRole::document)
                .chain(
                        document ->
                                mEntry.configurations()
                                        .apply(
                                                new ChangeRequest(
                                                        "embedded", OptionalLong.of(0), "", false),
                                                document))
                .invoke(result -> LOG.info("[daemon] configuration: {}", result))
                .replaceWithVoid();
    }

    private static byte[] document() {
        try (InputStream in = EmbeddedRole.class.getResourceAsStream("embedded.json")) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** The temporary directory gives access to the owner only. */
    private static Path writeKey() throws IOException {
        byte[] key = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(key);
        Path file = Files.createTempDirectory("knapweedbank-").resolve("operator-keys");
        Files.writeString(file, "operator:" + HexFormat.of().formatHex(key) + "\n");
        return file;
    }

    private void deleteKey() {
        try {
            Files.deleteIfExists(mKeyFile);
            Files.deleteIfExists(mKeyFile.getParent());
        } catch (IOException e) {
            LOG.warn("[daemon] {} not deleted: {}", mKeyFile, e.getMessage());
        }
    }
}
