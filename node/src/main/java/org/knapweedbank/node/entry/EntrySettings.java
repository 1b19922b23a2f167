package org.knapweedbank.node.entry;

import java.time.Duration;
import org.knapweedbank.jobs.owner.OwnerSettings;
import org.knapweedbank.model.DaemonId;

/**
 * Settings of an entry.
 *
 * @param entry name of the entry
 * @param processStartMillis start of this process in Unix milliseconds
 * @param host address for links
 * @param port port for links
 * @param cpuShare processor share of the VM; the strongest entry is the preferred owner
 * @param leaseTtl lease of the entry's keys in the store
 * @param owner bounds of the owner
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
     * Address for links.
     *
     * @return HOST:PORT
     */
    public String address() {
        return host + ":" + port;
    }
}
