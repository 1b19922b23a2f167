package org.knapweedbank.standin;

import java.time.Duration;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;

/**
 * Description of a worker stand-in.
 *
 * @param vm the VM
 * @param dataCentre its data centre
 * @param capacity resources for tasks
 * @param usageLag age of usage samples when they are reported
 */
public record WorkerDescription(
        VmId vm, DataCentreId dataCentre, Resources capacity, Duration usageLag) {}
