package org.knapweedbank.node.entry;

import java.time.Duration;
import org.knapweedbank.jobs.owner.OwnerSettings;
import org.knapweedbank.model.DaemonId;

/**
 * Settings of an entry.
 *
 * @param entry name of the entry
 * @param processStartMillis start of this process in Unix milliseconds
 * @param host address that links are accepted on
 * @param port port that links are accepted on
 * @param cpuShare share of a core that the VM provides; the entry with the largest share is the
 *     preferred owner
 * @param leaseTtl time to live of the lease that the entry's keys are attached to
 * @param owner settings that apply while the entry is the owner
 */
public record EntrySettings(
        DaemonId entry,
        long processStartMillis,
        String host,
        int port,
        double cpuShare,
        Duration leaseTtl,
        OwnerSettings owner) {
    /**
     * Returns the address that other processes open links to.
     *
     * @return HOST:PORT
     */
    public String address() {
        return host + ":" + port;
    }
}
