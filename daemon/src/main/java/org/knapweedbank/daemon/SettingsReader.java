package org.knapweedbank.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.knapweedbank.agent.AgentSettings;
import org.knapweedbank.control.ControlSettings;
import org.knapweedbank.entry.CallerLimits;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;

/**
 * Reads the settings of a daemon: one JSON file with comments, whose {@code role} names the role.
 */
public final class SettingsReader {
    private static final long MAX_MILLIS = Duration.ofHours(1).toMillis();
    private static final long DEFAULT_DRAIN_DELAY_MILLIS = 5_000;
    private static final long DEFAULT_DRAIN_TIMEOUT_MILLIS = 30_000;

    /** Calls to the worker need two seconds of a session; heartbeats come every second. */
    private static final long MIN_SESSION_MILLIS = 4_000;

    private static final long MAX_MILLI_CPU = 10_000_000;
    private static final long MAX_MEMORY_MB = 100_000_000;
    private static final long MAX_ACCELERATORS = 1_024;
    private static final long MAX_HEADERS = 1_024;
    private static final long MAX_HEADER_BYTES = 256 * 1024;

    private SettingsReader() {}

    /**
     * Reads a file.
     *
     * @param file the file; relative paths in it are resolved against its directory
     * @return the settings, or all errors
     */
    public static SettingsResult read(Path file) {
        try {
            return parse(file, Files.readAllBytes(file));
        } catch (IOException e) {
            String found = "cannot be read: " + e.getMessage();
            return new SettingsResult.Rejected(
                    List.of(new SettingsError(file.toString(), 0, "", found, "a readable file")));
        }
    }

    /**
     * Parses the content of a file.
     *
     * @param file the file
     * @param bytes its content
     * @return the settings, or all errors
     */
    static SettingsResult parse(Path file, byte[] bytes) {
        SettingsDocument document = SettingsDocument.parse(file.toString(), bytes);
        if (!document.errors().isEmpty()) {
            return new SettingsResult.Rejected(document.errors());
        }
        SettingsSection root = new SettingsSection(document, document.root(), "");
        String role = root.oneOf("role", List.of("entry", "agent"));
        if (role.isEmpty()) {
            // The role decides which other names are accepted.
            return new SettingsResult.Rejected(document.errors());
        }
        DaemonSettings settings = role.equals("entry") ? entry(root, file) : agent(root);
        root.checkUnknown();
        return document.errors().isEmpty()
                ? new SettingsResult.Accepted(settings)
                : new SettingsResult.Rejected(document.errors());
    }

    private static DaemonSettings entry(SettingsSection root, Path file) {
        SettingsSection store = root.section("store");
        List<String> endpoints = store.addresses("endpoints");
        store.checkUnknown();
        return new DaemonSettings.Entry(
                new DaemonId(root.name("daemon")),
                new DataCentreId(root.name("dataCentre")),
                root.host("host"),
                root.listener("callers"),
                root.listener("frames"),
                root.listener("operators"),
                file.toAbsolutePath().resolveSibling(root.text("operatorKeys")),
                endpoints,
                limits(root.section("limits")),
                control(root.section("control")),
                millis(root, "drainDelayMillis", DEFAULT_DRAIN_DELAY_MILLIS),
                millis(root, "drainTimeoutMillis", DEFAULT_DRAIN_TIMEOUT_MILLIS));
    }

    private static CallerLimits limits(SettingsSection section) {
        CallerLimits standard = CallerLimits.DEFAULT;
        CallerLimits limits =
                new CallerLimits(
                        (int)
                                section.integer(
                                        "maxBodyBytes",
                                        0,
                                        CallerLimits.LARGEST_BODY_BYTES,
                                        standard.maxBodyBytes()),
                        (int)
                                section.integer(
                                        "maxHeaderCount",
                                        1,
                                        MAX_HEADERS,
                                        standard.maxHeaderCount()),
                        (int)
                                section.integer(
                                        "maxHeaderBytes",
                                        1,
                                        MAX_HEADER_BYTES,
                                        standard.maxHeaderBytes()),
                        millis(section, "bodyTimeoutMillis", standard.bodyTimeout().toMillis()));
        section.checkUnknown();
        return limits;
    }

    private static ControlSettings control(SettingsSection section) {
        ControlSettings standard = ControlSettings.defaults();
        ControlSettings settings =
                standard.withLeases(
                        Duration.ofMillis(
                                section.integer(
                                        "sessionTtlMillis",
                                        MIN_SESSION_MILLIS,
                                        MAX_MILLIS,
                                        standard.sessionTtl().toMillis())),
                        millis(
                                section,
                                "maxStoreSilenceMillis",
                                standard.maxStoreSilence().toMillis()));
        section.checkUnknown();
        return settings;
    }

    private static DaemonSettings agent(SettingsSection root) {
        SettingsSection capacity = root.section("capacity");
        Resources resources =
                new Resources(
                        capacity.integer("milliCpu", 1, MAX_MILLI_CPU),
                        capacity.integer("memoryMb", 1, MAX_MEMORY_MB),
                        (int) capacity.integer("accelerators", 0, MAX_ACCELERATORS, 0));
        capacity.checkUnknown();
        String worker = root.address("worker");
        AgentSettings settings =
                new AgentSettings(
                        new DaemonId(root.name("daemon")),
                        new VmId(root.name("vm")),
                        root.name("region"),
                        new DataCentreId(root.name("dataCentre")),
                        root.name("rack"),
                        resources,
                        root.host("host"),
                        root.port("dataPort"),
                        root.port("announcePort"),
                        root.addresses("seeds"),
                        worker);
        return new DaemonSettings.Agent(settings, worker);
    }

    private static Duration millis(SettingsSection section, String name, long missing) {
        return Duration.ofMillis(section.integer(name, 0, MAX_MILLIS, missing));
    }
}
