package org.knapweedbank.node.entry;

import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.JobId;

/** Keys of this project in the coordination store. */
final class StoreKeys {
    /** Prefix of the keys of membership and ownership. */
    static final String MEMBERSHIP_PREFIX = "kb/m/";

    /** Prefix of the entries' addresses, each attached to the lease of its entry. */
    static final String ENTRY_PREFIX = MEMBERSHIP_PREFIX + "entry/";

    /** Key of the current owner, attached to the lease of its entry. */
    static final String OWNER = MEMBERSHIP_PREFIX + "owner";

    /** Key that names the owner of the newest term, attached to no lease. */
    static final String LAST_OWNER = MEMBERSHIP_PREFIX + "last-owner";

    /**
     * Key of the newest term. Each write of an owner is conditional on the revision of this key.
     */
    static final String TERM = MEMBERSHIP_PREFIX + "term";

    /** Prefix of the job records. */
    static final String JOB_PREFIX = "kb/jobs/";

    /** Key of the list of VMs on which tasks may run. */
    static final String VMS = "kb/vms";

    private StoreKeys() {}

    static String entry(DaemonId entry) {
        return ENTRY_PREFIX + entry.value();
    }

    static String job(JobId job) {
        return JOB_PREFIX + job.value();
    }
}
