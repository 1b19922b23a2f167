package org.knapweedbank.jobs.reservation;

import java.util.List;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.Resources;

/**
 * The room on a VM that may get start orders now.
 *
 * @param vm agent of the VM
 * @param service pool that the VM belongs to
 * @param labels labels of the VM
 * @param capacity all resources of the VM
 * @param unreserved resources that no run reserves and that are not claimed by tasks that move to
 *     the VM
 * @param runs runs that end
 */
public record VmRoom(
        DaemonId vm,
        String service,
        List<String> labels,
        Resources capacity,
        Resources unreserved,
        List<EndingRun> runs) {}
