package org.knapweedbank.node.entry;

import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.JobId;

/** Keys of the project in the store. */
final class StoreKeys {
    /** Prefix of all that concerns membership and ownership. */
    static final String MEMBERSHIP_PREFIX = "kb/m/";

    /** Prefix of the addresses of the entries, each under the lease of its entry. */
    static final String ENTRY_PREFIX = MEMBERSHIP_PREFIX + "entry/";

    /** The present owner, under the lease of its entry. */
    static final String OWNER = MEMBERSHIP_PREFIX + "owner";

    /** Number of the newest term. Each write of an owner is guarded by the revision of this key. */
    static final String TERM = MEMBERSHIP_PREFIX + "term";

    /** Prefix of the jobs. */
    static final String JOB_PREFIX = "kb/jobs/";

    /** List of the VMs on which something may run. */
    static final String VMS = "kb/vms";

    private StoreKeys() {}

    static String entry(DaemonId entry) {
        return ENTRY_PREFIX + entry.value();
    }

    static String job(JobId job) {
        return JOB_PREFIX + job.value();
    }
}
