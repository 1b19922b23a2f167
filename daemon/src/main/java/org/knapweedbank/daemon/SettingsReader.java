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
 * Reads the settings file of a daemon, which is JSON with comments. The field {@code role} selects
 * the role of the daemon.
 */
public final class SettingsReader {
    private static final long MAX_DURATION_MILLIS = Duration.ofHours(1).toMillis();
    private static final long DEFAULT_DRAIN_DELAY_MILLIS = 5_000;
    private static final long DEFAULT_DRAIN_TIMEOUT_MILLIS = 30_000;

    /**
     * Minimum duration of a session: calls to the worker need two seconds of it, and heartbeats
     * come every second.
     */
    private static final long MIN_SESSION_TTL_MILLIS = 4_000;

    private static final long MAX_MILLI_CPU = 10_000_000;
    private static final long MAX_MEMORY_MB = 100_000_000;
    private static final long MAX_ACCELERATORS = 1_024;
    private static final long MAX_HEADER_COUNT = 1_024;
    private static final long MAX_HEADER_BYTES = 256 * 1024;

    private SettingsReader() {}

    /**
     * Reads a settings file.
     *
     * @param file the file; relative paths in it are resolved against its directory
     * @return the settings, or all errors found
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
     * Parses the content of a settings file.
     *
     * @param file path of the file, for error messages and for resolving relative paths
     * @param bytes content of the file
     * @return the settings, or all errors found
     */
    static SettingsResult parse(Path file, byte[] bytes) {
        SettingsDocument document = SettingsDocument.parse(file.toString(), bytes);
        if (!document.errors().isEmpty()) {
            return new SettingsResult.Rejected(document.errors());
        }
        SettingsSection root = new SettingsSection(document, document.root(), "");
        String role = root.oneOf("role", List.of("entry", "agent"));
        if (role.isEmpty()) {
            // Without a role, it is not known which other names are accepted.
            return new SettingsResult.Rejected(document.errors());
        }
        DaemonSettings settings = role.equals("entry") ? parseEntry(root, file) : parseAgent(root);
        root.rejectUnknownNames();
        return document.errors().isEmpty()
                ? new SettingsResult.Accepted(settings)
                : new SettingsResult.Rejected(document.errors());
    }

    private static DaemonSettings parseEntry(SettingsSection root, Path file) {
        SettingsSection store = root.section("store");
        List<String> endpoints = store.addresses("endpoints");
        store.rejectUnknownNames();
        return new DaemonSettings.Entry(
                new DaemonId(root.identifier("daemon")),
                new DataCentreId(root.identifier("dataCentre")),
                root.host("host"),
                root.listener("callers"),
                root.listener("frames"),
                root.listener("operators"),
                file.toAbsolutePath().resolveSibling(root.text("operatorKeys")),
                endpoints,
                parseCallerLimits(root.section("limits")),
                parseControlSettings(root.section("control")),
                parseDuration(root, "drainDelayMillis", DEFAULT_DRAIN_DELAY_MILLIS),
                parseDuration(root, "drainTimeoutMillis", DEFAULT_DRAIN_TIMEOUT_MILLIS));
    }

    private static CallerLimits parseCallerLimits(SettingsSection section) {
        CallerLimits defaultSettings = CallerLimits.DEFAULT;
        CallerLimits limits =
                new CallerLimits(
                        (int)
                                section.integer(
                                        "maxBodyBytes",
                                        0,
                                        CallerLimits.LARGEST_BODY_BYTES,
                                        defaultSettings.maxBodyBytes()),
                        (int)
                                section.integer(
                                        "maxHeaderCount",
                                        1,
                                        MAX_HEADER_COUNT,
                                        defaultSettings.maxHeaderCount()),
                        (int)
                                section.integer(
                                        "maxHeaderBytes",
                                        1,
                                        MAX_HEADER_BYTES,
                                        defaultSettings.maxHeaderBytes()),
                        parseDuration(
                                section,
                                "bodyTimeoutMillis",
                                defaultSettings.bodyTimeout().toMillis()));
        section.rejectUnknownNames();
        return limits;
    }

    private static ControlSettings parseControlSettings(SettingsSection section) {
        ControlSettings defaultSettings = ControlSettings.defaults();
        ControlSettings settings =
                defaultSettings.withLeases(
                        Duration.ofMillis(
                                section.integer(
                                        "sessionTtlMillis",
                                        MIN_SESSION_TTL_MILLIS,
                                        MAX_DURATION_MILLIS,
                                        defaultSettings.sessionTtl().toMillis())),
                        parseDuration(
                                section,
                                "maxStoreSilenceMillis",
                                defaultSettings.maxTimeWithoutStore().toMillis()));
        section.rejectUnknownNames();
        return settings;
    }

    private static DaemonSettings parseAgent(SettingsSection root) {
        SettingsSection capacity = root.section("capacity");
        Resources resources =
                new Resources(
                        capacity.integer("milliCpu", 1, MAX_MILLI_CPU),
                        capacity.integer("memoryMb", 1, MAX_MEMORY_MB),
                        (int) capacity.integer("accelerators", 0, MAX_ACCELERATORS, 0));
        capacity.rejectUnknownNames();
        String worker = root.address("worker");
        AgentSettings settings =
                new AgentSettings(
                        new DaemonId(root.identifier("daemon")),
                        new VmId(root.identifier("vm")),
                        root.identifier("region"),
                        new DataCentreId(root.identifier("dataCentre")),
                        root.identifier("rack"),
                        resources,
                        root.host("host"),
                        root.port("dataPort"),
                        root.port("announcePort"),
                        root.addresses("seeds"),
                        worker);
        return new DaemonSettings.Agent(settings, worker);
    }

    private static Duration parseDuration(
            SettingsSection section, String name, long defaultMillis) {
        return Duration.ofMillis(section.integer(name, 0, MAX_DURATION_MILLIS, defaultMillis));
    }
}
